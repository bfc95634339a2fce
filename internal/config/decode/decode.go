// Package decode reads settings out of KDL nodes: every field once, unknown ones named with the nearest known
// name, and all errors of a file gathered with their places.
package decode

import (
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"winghatch/internal/config/kdl"
)

// Error says which field is wrong, where, and what is wanted.
type Error struct {
	File  string
	Pos   kdl.Pos
	Field string
	Text  string // value, and what is wanted
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Pos.Line, e.Pos.Column, e.Field, e.Text)
}

// Errors are all errors of a file, in the order of its text.
type Errors []*Error

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse reads a document; a fault of its form is an error of the field "document".
func Parse(file string, src []byte) ([]*kdl.Node, error) {
	nodes, err := kdl.Parse(file, src)
	var e *kdl.Error
	if errors.As(err, &e) {
		return nil, Errors{{File: file, Pos: e.Pos, Field: "document", Text: e.Text}}
	}
	return nodes, err
}

// Decoder turns nodes into settings and keeps every error it meets.
type Decoder struct {
	File   string
	Errors Errors
}

// Err is all that was wrong, in the order of the text, or nil.
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

// Has reports whether an error of the field was noted.
func (d *Decoder) Has(field string) bool {
	return slices.ContainsFunc(d.Errors, func(e *Error) bool { return e.Field == field })
}

// Fail notes an error.
func (d *Decoder) Fail(p kdl.Pos, field, format string, args ...any) {
	d.Errors = append(d.Errors, &Error{d.File, p, field, fmt.Sprintf(format, args...)})
}

// Setting is a field as the text gives it: a property, or a node of one value.
type Setting struct {
	d     *Decoder
	Pos   kdl.Pos
	Field string
	Value kdl.Value
}

// Wrong notes that the value is not what is wanted.
func (s Setting) Reject(want string) { s.d.Fail(s.Value.Pos, s.Field, "%s, want %s", s.Value, want) }

// Fields are what a block may hold: settings by name, and blocks by name.
type Fields map[string]func(Setting)

// Blocks are read by name; at is the way to the block.
type Blocks map[string]func(at string, n *kdl.Node)

// Block reads a node's properties and children. Settings come once each; must names those that have to come.
func (d *Decoder) Block(at string, n *kdl.Node, f Fields, b Blocks, must ...string) {
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
		set(Setting{d, p, field, v})
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
	for _, name := range must {
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

func (d *Decoder) unknown(p kdl.Pos, at, name string, f Fields, b Blocks) {
	best, least := "", len(name)/2+2
	for _, known := range names(f, b) {
		if n := distance(name, known); n < least {
			best, least = known, n
		}
	}
	if best != "" {
		d.Fail(p, join(at, name), "%q is not known, the nearest known name is %q", name, best)
		return
	}
	d.Fail(p, join(at, name), "%q is not known, want one of %s", name, strings.Join(names(f, b), ", "))
}

// distance is the edit distance of two names.
func distance(a, b string) int {
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

// Named reads the name that a block is given as its only argument.
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

// Plain reports a node that takes no arguments but has some.
func (d *Decoder) Plain(at string, n *kdl.Node) {
	if len(n.Args) > 0 {
		d.Fail(n.Args[0].Pos, at, "%s, want no value here", n.Args[0])
	}
}

// Text reads a string with something in it.
func String(to *string) func(Setting) {
	return func(s Setting) {
		if s.Value.Kind != kdl.String || s.Value.Text == "" {
			s.Reject("a string with something in it")
			return
		}
		*to = s.Value.Text
	}
}

// Flag reads #true or #false.
func Bool(to *bool) func(Setting) {
	return func(s Setting) {
		if s.Value.Kind != kdl.Bool {
			s.Reject("#true or #false")
			return
		}
		*to = s.Value.Bool
	}
}

func finite(v kdl.Value) bool {
	return v.Kind == kdl.Number && !math.IsNaN(v.Num) && !math.IsInf(v.Num, 0)
}

// Number reads a finite number within bounds.
func Number(to *float64, least, most float64) func(Setting) {
	return func(s Setting) {
		if !finite(s.Value) || s.Value.Num < least || s.Value.Num > most {
			s.Reject(describeRange("a number", least, most))
			return
		}
		*to = s.Value.Num
	}
}

// Whole reads a whole number within bounds.
func Int(to *int, least, most int) func(Setting) {
	return func(s Setting) {
		if v := s.Value.Num; !finite(s.Value) || v != math.Trunc(v) || v < float64(least) || v > float64(most) {
			s.Reject(describeRange("a whole number", float64(least), float64(most)))
			return
		}
		*to = int(s.Value.Num)
	}
}

func describeRange(what string, least, most float64) string {
	if most >= math.MaxInt32 {
		return fmt.Sprintf("%s of %v or more", what, least)
	}
	return fmt.Sprintf("%s from %v to %v", what, least, most)
}

const maxDuration = 24 * time.Hour

// Duration reads "500ms".
func Duration(to *time.Duration, least time.Duration) func(Setting) {
	return func(s Setting) {
		v, err := time.ParseDuration(s.Value.Text)
		if s.Value.Kind != kdl.String || err != nil || v < least || v > maxDuration {
			s.Reject(fmt.Sprintf("a duration such as \"500ms\", from %v to %v", least, maxDuration))
			return
		}
		*to = v
	}
}

var perUnit = map[string]float64{"ms": 1000, "s": 1, "min": 1. / 60, "h": 1. / 3600}

// Rate reads units a second: "12/s", "90/min".
func Rate(to *float64) func(Setting) {
	return func(s Setting) {
		n, unit, ok := strings.Cut(s.Value.Text, "/")
		v, err := strconv.ParseFloat(n, 64)
		per := perUnit[unit]
		if s.Value.Kind != kdl.String || !ok || err != nil || per == 0 || !(v >= 0) || math.IsInf(v*per, 0) {
			s.Reject(`a rate such as "12/s", not below 0, per ms, s, min or h`)
			return
		}
		*to = v * per
	}
}

// Size reads bytes: "64KiB", or a whole number.
func Size(to *int) func(Setting) {
	return func(s Setting) {
		n, unit := s.Value.Text, 1
		for suffix, by := range map[string]int{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} {
			if t, ok := strings.CutSuffix(n, suffix); ok {
				n, unit = t, by
			}
		}
		v, err := strconv.Atoi(n)
		if err != nil || v < 1 || v > math.MaxInt32/unit {
			s.Reject(`a size such as "64KiB"`)
			return
		}
		*to = v * unit
	}
}

// Choice reads one of some names.
func Choice[T any](to *T, from map[string]T) func(Setting) {
	return func(s Setting) {
		v, ok := from[s.Value.Text]
		if s.Value.Kind != kdl.String || !ok {
			s.Reject("one of " + strings.Join(SortedKeys(from), ", "))
			return
		}
		*to = v
	}
}

// Address reads host:port.
func Address(to *string) func(Setting) {
	return func(s Setting) {
		host, port, err := net.SplitHostPort(s.Value.Text)
		n, perr := strconv.ParseUint(port, 10, 16)
		if s.Value.Kind != kdl.String || err != nil || perr != nil || host == "" || n > 65535 {
			s.Reject(`an address such as "127.0.0.1:8080"`)
			return
		}
		*to = s.Value.Text
	}
}

// Sorted returns the names of a map in order.
func SortedKeys[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func names(f Fields, b Blocks) []string {
	out := append(SortedKeys(f), SortedKeys(b)...)
	sort.Strings(out)
	return out
}

// NewSetting makes a setting of a value that stands in no property or node of its own.
func NewSetting(d *Decoder, field string, v kdl.Value) Setting { return Setting{d, v.Pos, field, v} }
