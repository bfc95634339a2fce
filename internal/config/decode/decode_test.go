package decode

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A value that is out of range or has the wrong type must be rejected with an error that says what is valid,
// because the gateway would otherwise run with settings that the operator did not intend. Valid values must
// be stored.
func TestValuesAreValidated(t *testing.T) {
	var text string
	var flag bool
	var number, rate float64
	var integer, size int
	var duration time.Duration
	for _, c := range []struct {
		name    string
		read    func(Setting)
		stored  func() any
		valid   map[string]any // stored value by KDL text
		invalid []string       // KDL texts
		want    string         // part of the error
	}{
		{"string", String(&text), func() any { return text },
			map[string]any{`"a"`: "a", `word`: "word"}, []string{`""`, `1`, `#null`},
			"a string that is not empty"},
		{"bool", Bool(&flag), func() any { return flag },
			map[string]any{`#true`: true, `#false`: false}, []string{`"true"`, `1`}, "#true or #false"},
		{"number", Number(&number, 0.5, 2), func() any { return number },
			map[string]any{`0.5`: 0.5, `2`: 2.0}, []string{`0.4`, `2.1`, `#nan`, `#inf`, `"1"`},
			"a number from 0.5 to 2"},
		{"integer", Int(&integer, 1, 10), func() any { return integer },
			map[string]any{`1`: 1, `10`: 10}, []string{`0`, `11`, `1.5`, `"1"`},
			"a whole number from 1 to 10"},
		{"duration", Duration(&duration, time.Millisecond), func() any { return duration },
			map[string]any{`"1ms"`: time.Millisecond, `"24h"`: 24 * time.Hour},
			[]string{`"0s"`, `"25h"`, `"1"`, `5`}, "a duration such as"},
		{"rate", Rate(&rate), func() any { return rate },
			map[string]any{`"90/min"`: 1.5, `"2/ms"`: 2000.0},
			[]string{`"1"`, `"1/day"`, `"-1/s"`, `"x/s"`, `1`}, "a rate such as"},
		{"size", Size(&size), func() any { return size },
			map[string]any{`"64KiB"`: 64 << 10, `5`: 5, `"1GiB"`: 1 << 30},
			[]string{`"2GiB"`, `0`, `"1KB"`, `"-1"`}, "a size such as"},
		{"choice", Choice(&integer, map[string]int{"one": 1, "two": 2}), func() any { return integer },
			map[string]any{`two`: 2}, []string{`three`, `1`}, "one of one, two"},
		{"address", Address(&text), func() any { return text },
			map[string]any{`"127.0.0.1:80"`: "127.0.0.1:80", `"[::1]:1"`: "[::1]:1"},
			[]string{`":80"`, `"host"`, `"h:65536"`}, "an address such as"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for in, want := range c.valid {
				if err := readField(t, in, c.read); err != nil || c.stored() != want {
					t.Errorf("%s: got %v, error %v; want %v", in, c.stored(), err, want)
				}
			}
			for _, in := range c.invalid {
				if err := readField(t, in, c.read); err == nil || !strings.Contains(err.Error(), c.want) {
					t.Errorf("%s: got error %v, want one with %q", in, err, c.want)
				}
			}
		})
	}
}

// readField reads a block whose only field has the given KDL text as its value.
func readField(t *testing.T, value string, read func(Setting)) error {
	t.Helper()
	nodes, err := Parse("f", []byte(fmt.Sprintf("block { field %s }", value)))
	if err != nil {
		t.Fatal(err)
	}
	d := &Decoder{File: "f"}
	d.Block("block", nodes[0], Fields{"field": read}, nil)
	return d.Err()
}

// A misspelled, missing or repeated field must not be ignored, because the gateway would run with a default
// or with one of two values. Each is an error, and errors are sorted by position.
func TestBlockErrors(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{`b x=1`, ""},
		{`b y=1`, `f:1:1: b.x: missing` + "\n" +
			`f:1:3: b.y: "y" is not known, the nearest known name is "x"`},
		{`b x=1 { x 2 }`, `f:1:9: b.x: 2, already given at line 1`},
		{`b { x 1 2 }`, `f:1:5: b.x: 2 values, want exactly one and no properties or children`},
		{`b x=1 { unrelated 1 }`, `f:1:9: b.unrelated: "unrelated" is not known, want one of inner, x`},
		{`b x=1 { inner 7 }`, `f:1:15: b.inner: 7, want no value here`},
	} {
		nodes, err := Parse("f", []byte(c.in))
		if err != nil {
			t.Fatal(err)
		}
		var x float64
		d := &Decoder{File: "f"}
		d.Block("b", nodes[0], Fields{"x": Number(&x, 0, 9)}, Blocks{"inner": d.RejectArguments}, "x")
		got := ""
		if err := d.Err(); err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%s: got errors\n%s\nwant\n%s", c.in, got, c.want)
		}
	}
}

// The suggested name for a misspelled field is the one with the smallest edit distance. A wrong distance
// suggests the wrong name.
func TestEditDistance(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want int
	}{{"", "", 0}, {"", "abc", 3}, {"aim", "ain", 1}, {"zone", "zoon", 2}, {"rate", "ate", 1}} {
		if got := editDistance(c.a, c.b); got != c.want {
			t.Errorf("%q to %q: got distance %d, want %d", c.a, c.b, got, c.want)
		}
	}
}
