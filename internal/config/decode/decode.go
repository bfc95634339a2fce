// Package decode reads settings out of KDL nodes. Each field may be given once; an unknown one is reported with the
// nearest known name; all errors of a file are gathered with their places.
package decode

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"winghatch/internal/config/kdl"
)

// Error says which field is invalid, where, and what is valid.
type Error struct {
	File  string
	Pos   kdl.Pos
	Field string // path of the field, as "plan small.rate"
	Text  string // the value, and what is valid
}

// Error is the text for operators.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Pos.Line, e.Pos.Column, e.Field, e.Text)
}

// Errors are all errors of a file, in the order of its text.
type Errors []*Error

// Error has a line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse reads a document; file is only named in errors. An error of its form is Errors of one, with the field
// "document".
func Parse(file string, src []byte) ([]*kdl.Node, error) {
	nodes, err := kdl.Parse(file, src)
	var e *kdl.Error
	if errors.As(err, &e) {
		return nil, Errors{{File: file, Pos: e.Pos, Field: "document", Text: e.Text}}
	}
	return nodes, err
}

// Decoder reads nodes into settings and gathers the errors.
type Decoder struct {
	File   string
	Errors Errors
}

// Err returns all errors in the order of the text, or nil.
func (d *Decoder) Err() error {
	if len(d.Errors) == 0 {
		return nil
	}
	slices.SortStableFunc(d.Errors, func(a, b *Error) int {
		if a.Pos.Line != b.Pos.Line {
			return a.Pos.Line - b.Pos.Line
		}
		return a.Pos.Column - b.Pos.Column
	})
	return d.Errors
}

// Has reports whether a field has an error.
func (d *Decoder) Has(field string) bool {
	return slices.ContainsFunc(d.Errors, func(e *Error) bool { return e.Field == field })
}

// Fail adds an error.
func (d *Decoder) Fail(p kdl.Pos, field, format string, args ...any) {
	d.Errors = append(d.Errors, &Error{d.File, p, field, fmt.Sprintf(format, args...)})
}

// Setting is a field as the document has it: a property, or a node of one value.
type Setting struct {
	d     *Decoder
	Field string
	Value kdl.Value
}

// Reject adds the error that the value is not one of those wanted.
func (s Setting) Reject(want string) { s.d.Fail(s.Value.Pos, s.Field, "%s, want %s", s.Value, want) }

// NewSetting makes a setting of a value that is neither a property nor a node of its own.
func NewSetting(d *Decoder, field string, v kdl.Value) Setting { return Setting{d, field, v} }

// Fields are the settings that a block may have: by name, what reads one.
type Fields map[string]func(Setting)

// Blocks are the blocks that a block may have: by name, what reads one, at a path.
type Blocks map[string]func(at string, n *kdl.Node)

// Block reads a node's properties and children. Each setting may be given once; those that are required must be.
func (d *Decoder) Block(at string, n *kdl.Node, f Fields, b Blocks, required ...string) {
	seen := map[string]kdl.Pos{}
	take := func(p kdl.Pos, name string, v kdl.Value) {
		field := join(at, name)
		if _, twice := seen[name]; twice {
			d.Fail(p, field, "%s, given before at line %d", v, seen[name].Line)
			return
		}
		seen[name] = p
		set, ok := f[name]
		if !ok {
			d.unknown(p, at, name, f, b)
			return
		}
		set(Setting{d, field, v})
	}
	for _, p := range n.Props {
		take(p.Pos, p.Name, p.Value)
	}
	for _, c := range n.Children {
		if read, ok := b[c.Name]; ok {
			read(join(at, c.Name), c)
			continue
		}
		if _, ok := f[c.Name]; ok && (len(c.Args) != 1 || len(c.Props) > 0 || len(c.Children) > 0) {
			d.Fail(c.Pos, join(at, c.Name), "%d values, want one and nothing else", len(c.Args))
			seen[c.Name] = c.Pos
			continue
		}
		v := kdl.Value{Pos: c.Pos}
		if len(c.Args) == 1 {
			v = c.Args[0]
		}
		take(c.Pos, c.Name, v)
	}
	for _, name := range required {
		if _, ok := seen[name]; !ok {
			d.Fail(n.Pos, join(at, name), "missing")
		}
	}
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

// unknown adds the error of a name that is not known, with the nearest known one if it is near enough.
func (d *Decoder) unknown(p kdl.Pos, at, name string, f Fields, b Blocks) {
	nearest, distance := "", len(name)/2+2
	for _, known := range names(f, b) {
		if n := editDistance(name, known); n < distance {
			nearest, distance = known, n
		}
	}
	if nearest != "" {
		d.Fail(p, join(at, name), "%q is not known, the nearest known name is %q", name, nearest)
		return
	}
	d.Fail(p, join(at, name), "%q is not known, want one of %s", name, strings.Join(names(f, b), ", "))
}

// editDistance is the number of insertions, deletions and replacements of bytes that make a of b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := last
			if a[i] != b[j] {
				cost++
			}
			last = row[j+1]
			row[j+1] = min(cost, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}

// Named reads the name that a block has as its only argument. Names are added to seen, and must not be in it.
func (d *Decoder) Named(at string, n *kdl.Node, seen map[string]bool) string {
	if len(n.Args) != 1 || n.Args[0].Kind != kdl.String || n.Args[0].Text == "" {
		d.Fail(n.Pos, at, "%d values, want one name", len(n.Args))
		return ""
	}
	name := n.Args[0].Text
	if seen[name] {
		d.Fail(n.Args[0].Pos, at, "%q, the name is given before", name)
	}
	seen[name] = true
	return name
}

// Plain adds an error if a node has arguments.
func (d *Decoder) Plain(at string, n *kdl.Node) {
	if len(n.Args) > 0 {
		d.Fail(n.Args[0].Pos, at, "%s, want no value here", n.Args[0])
	}
}

// SortedKeys returns the keys of a map in order.
func SortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}

// names are the names that a block may have, in order.
func names(f Fields, b Blocks) []string {
	out := append(SortedKeys(f), SortedKeys(b)...)
	slices.Sort(out)
	return out
}
