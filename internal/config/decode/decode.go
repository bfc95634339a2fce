// Package decode reads settings from KDL nodes. A field may be given only once. An unknown field is reported
// with the known name that is most similar to it. Decoding does not stop at an error: all errors of a file
// are collected with their positions.
package decode

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"winghatch/internal/config/kdl"
)

// Error describes an invalid field.
type Error struct {
	File  string
	Pos   kdl.Pos
	Field string // path of the field, such as "plan small.rate"
	Text  string // the invalid value and which values are valid
}

// Error returns the file, line, column, field and text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Pos.Line, e.Pos.Column, e.Field, e.Text)
}

// Errors holds all errors of a file, sorted by position.
type Errors []*Error

// Error returns one line per error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse parses a KDL document. file is the file name used in errors; it is not opened. A syntax error is
// returned as Errors with one element, whose field is "document".
func Parse(file string, src []byte) ([]*kdl.Node, error) {
	nodes, err := kdl.Parse(file, src)
	var e *kdl.Error
	if errors.As(err, &e) {
		return nil, Errors{{File: file, Pos: e.Pos, Field: "document", Text: e.Text}}
	}
	return nodes, err
}

// Decoder reads settings from nodes and collects the errors.
type Decoder struct {
	File   string // file name used in errors
	Errors Errors // errors so far, in the order in which they were added
}

// Err sorts the errors by position and returns them as an Errors, or nil if there are none.
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

// HasError reports whether an error was added for the given field.
func (d *Decoder) HasError(field string) bool {
	return slices.ContainsFunc(d.Errors, func(e *Error) bool { return e.Field == field })
}

// Fail adds an error for a field. The format and its arguments make up the error's text.
func (d *Decoder) Fail(p kdl.Pos, field, format string, args ...any) {
	d.Errors = append(d.Errors, &Error{d.File, p, field, fmt.Sprintf(format, args...)})
}

// Setting is a field that a document sets, either by a property or by a node with one argument.
type Setting struct {
	d     *Decoder
	Field string // path of the field, such as "plan small.rate"
	Value kdl.Value
}

// Reject adds an error with the value and a description of the valid values.
func (s Setting) Reject(want string) { s.d.Fail(s.Value.Pos, s.Field, "%s, want %s", s.Value, want) }

// NewSetting returns a Setting for a value that is neither a property nor the only argument of a node.
func NewSetting(d *Decoder, field string, v kdl.Value) Setting { return Setting{d, field, v} }

// Fields maps the name of each setting that a block may contain to the function that reads it.
type Fields map[string]func(Setting)

// Blocks maps the name of each block that a block may contain to the function that reads it. The argument at
// is the path of the inner block.
type Blocks map[string]func(at string, n *kdl.Node)

// Block reads the properties and children of n, whose path is at. It adds an error for each setting that is
// unknown or given twice, and for each required setting that is missing. Blocks may be repeated.
func (d *Decoder) Block(at string, n *kdl.Node, f Fields, b Blocks, required ...string) {
	seen := map[string]kdl.Pos{}
	take := func(p kdl.Pos, name string, v kdl.Value) {
		field := join(at, name)
		if _, twice := seen[name]; twice {
			d.Fail(p, field, "%s, already given at line %d", v, seen[name].Line)
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
			d.Fail(c.Pos, join(at, c.Name), "%d values, want exactly one and no properties or children",
				len(c.Args))
			seen[c.Name] = c.Pos // so that it is not reported as missing too
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

// join returns the path of a field in the block at path at. The path of the outermost block is "".
func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

// unknown adds an error for an unknown name. The error suggests the known name with the smallest edit
// distance. If that distance is more than len(name)/2 + 1, the error lists all known names instead.
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

// editDistance returns the Levenshtein distance of a and b: the smallest number of insertions, deletions and
// replacements of single bytes that turn one into the other.
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

// BlockName returns the name of a block, which must be its only argument. It adds the name to seen, and an
// error if seen already contains it. Without a valid name, it adds an error and returns "".
func (d *Decoder) BlockName(at string, n *kdl.Node, seen map[string]bool) string {
	if len(n.Args) != 1 || n.Args[0].Kind != kdl.String || n.Args[0].Text == "" {
		d.Fail(n.Pos, at, "%d values, want one name", len(n.Args))
		return ""
	}
	name := n.Args[0].Text
	if seen[name] {
		d.Fail(n.Args[0].Pos, at, "%q, the name is already used", name)
	}
	seen[name] = true
	return name
}

// RejectArguments adds an error if n has arguments.
func (d *Decoder) RejectArguments(at string, n *kdl.Node) {
	if len(n.Args) > 0 {
		d.Fail(n.Args[0].Pos, at, "%s, want no value here", n.Args[0])
	}
}

// SortedKeys returns the keys of m in ascending order.
func SortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}

// names returns the names of all settings and blocks that a block may contain, in ascending order.
func names(f Fields, b Blocks) []string {
	out := append(SortedKeys(f), SortedKeys(b)...)
	slices.Sort(out)
	return out
}
