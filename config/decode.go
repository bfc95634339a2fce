package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"winghatch/config/kdl"
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

// decoder turns nodes into settings and keeps every error it meets.
type decoder struct {
	file string
	errs Errors
}

func (d *decoder) fail(p kdl.Pos, field, format string, args ...any) {
	d.errs = append(d.errs, &Error{d.file, p, field, fmt.Sprintf(format, args...)})
}

// setting is a field as the text gives it: a property, or a node of one value.
type setting struct {
	d     *decoder
	pos   kdl.Pos
	field string
	value kdl.Value
}

func (s setting) wrong(want string) { s.d.fail(s.value.Pos, s.field, "%s, want %s", s.value, want) }

// fields are what a block may hold: settings by name, and blocks by name.
type fields map[string]func(setting)
type blocks map[string]func(at string, n *kdl.Node)

// block reads a node's properties and children. Settings come once each; must names those that have to come.
func (d *decoder) block(at string, n *kdl.Node, f fields, b blocks, must ...string) {
	seen := map[string]kdl.Pos{}
	take := func(p kdl.Pos, name string, v kdl.Value) {
		field := join(at, name)
		if _, twice := seen[name]; twice {
			d.fail(p, field, "%s, given before at line %d", v, seen[name].Line)
			return
		}
		seen[name] = p
		set, ok := f[name]
		if !ok {
			d.unknown(p, at, name, f, b)
			return
		}
		set(setting{d, p, field, v})
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
			d.fail(c.Pos, join(at, c.Name), "%d values, want one and nothing else", len(c.Args))
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
			d.fail(n.Pos, join(at, name), "missing")
		}
	}
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

func (d *decoder) unknown(p kdl.Pos, at, name string, f fields, b blocks) {
	best, least := "", len(name)/2+2
	for _, known := range names(f, b) {
		if n := distance(name, known); n < least {
			best, least = known, n
		}
	}
	if best != "" {
		d.fail(p, join(at, name), "%q is not known, the nearest known name is %q", name, best)
		return
	}
	d.fail(p, join(at, name), "%q is not known, want one of %s", name, strings.Join(names(f, b), ", "))
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

// named reads the name that a block is given as its only argument.
func (d *decoder) named(at string, n *kdl.Node, seen map[string]bool) string {
	if len(n.Args) != 1 || n.Args[0].Kind != kdl.String || n.Args[0].Text == "" {
		d.fail(n.Pos, at, "%d values, want one name", len(n.Args))
		return ""
	}
	name := n.Args[0].Text
	if seen[name] {
		d.fail(n.Args[0].Pos, at, "%q, the name is given before", name)
	}
	seen[name] = true
	return name
}

// plain reports a node that takes no arguments but has some.
func (d *decoder) plain(at string, n *kdl.Node) {
	if len(n.Args) > 0 {
		d.fail(n.Args[0].Pos, at, "%s, want no value here", n.Args[0])
	}
}

func text(to *string) func(setting) {
	return func(s setting) {
		if s.value.Kind != kdl.String || s.value.Text == "" {
			s.wrong("a string with something in it")
			return
		}
		*to = s.value.Text
	}
}

func flag(to *bool) func(setting) {
	return func(s setting) {
		if s.value.Kind != kdl.Bool {
			s.wrong("#true or #false")
			return
		}
		*to = s.value.Bool
	}
}

func finite(v kdl.Value) bool {
	return v.Kind == kdl.Number && !math.IsNaN(v.Num) && !math.IsInf(v.Num, 0)
}

func number(to *float64, least, most float64) func(setting) {
	return func(s setting) {
		if !finite(s.value) || s.value.Num < least || s.value.Num > most {
			s.wrong(span("a number", least, most))
			return
		}
		*to = s.value.Num
	}
}

func whole(to *int, least, most int) func(setting) {
	return func(s setting) {
		if v := s.value.Num; !finite(s.value) || v != math.Trunc(v) || v < float64(least) || v > float64(most) {
			s.wrong(span("a whole number", float64(least), float64(most)))
			return
		}
		*to = int(s.value.Num)
	}
}

func span(what string, least, most float64) string {
	if most >= math.MaxInt32 {
		return fmt.Sprintf("%s of %v or more", what, least)
	}
	return fmt.Sprintf("%s from %v to %v", what, least, most)
}

const maxDuration = 24 * time.Hour

func duration(to *time.Duration, least time.Duration) func(setting) {
	return func(s setting) {
		v, err := time.ParseDuration(s.value.Text)
		if s.value.Kind != kdl.String || err != nil || v < least || v > maxDuration {
			s.wrong(fmt.Sprintf("a duration such as \"500ms\", from %v to %v", least, maxDuration))
			return
		}
		*to = v
	}
}

var perUnit = map[string]float64{"ms": 1000, "s": 1, "min": 1. / 60, "h": 1. / 3600}

// rate reads units a second: "12/s", "90/min".
func rate(to *float64) func(setting) {
	return func(s setting) {
		n, unit, ok := strings.Cut(s.value.Text, "/")
		v, err := strconv.ParseFloat(n, 64)
		per := perUnit[unit]
		if s.value.Kind != kdl.String || !ok || err != nil || per == 0 || !(v >= 0) || math.IsInf(v*per, 0) {
			s.wrong(`a rate such as "12/s", not below 0, per ms, s, min or h`)
			return
		}
		*to = v * per
	}
}

// size reads bytes: "64KiB", or a whole number.
func size(to *int) func(setting) {
	return func(s setting) {
		n, unit := s.value.Text, 1
		for suffix, by := range map[string]int{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} {
			if t, ok := strings.CutSuffix(n, suffix); ok {
				n, unit = t, by
			}
		}
		v, err := strconv.Atoi(n)
		if err != nil || v < 1 || v > math.MaxInt32/unit {
			s.wrong(`a size such as "64KiB"`)
			return
		}
		*to = v * unit
	}
}

// choice reads one of some names.
func choice[T any](to *T, from map[string]T) func(setting) {
	return func(s setting) {
		v, ok := from[s.value.Text]
		if s.value.Kind != kdl.String || !ok {
			s.wrong("one of " + strings.Join(sorted(from), ", "))
			return
		}
		*to = v
	}
}

// address reads host:port.
func address(to *string) func(setting) {
	return func(s setting) {
		host, port, err := net.SplitHostPort(s.value.Text)
		n, perr := strconv.ParseUint(port, 10, 16)
		if s.value.Kind != kdl.String || err != nil || perr != nil || host == "" || n > 65535 {
			s.wrong(`an address such as "127.0.0.1:8080"`)
			return
		}
		*to = s.value.Text
	}
}
