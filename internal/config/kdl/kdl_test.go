package kdl

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// parseArgument parses a node with the argument in and returns the argument.
func parseArgument(t *testing.T, in string) Value {
	t.Helper()
	nodes, err := Parse("f", []byte("n "+in))
	if err != nil || len(nodes) != 1 || len(nodes[0].Args) != 1 {
		t.Fatalf("%s: got nodes %v, error %v; want one argument", in, nodes, err)
	}
	return nodes[0].Args[0]
}

// A setting must have the value that the KDL specification gives its text. The test parses each form of a
// string: quoted, raw, multi-line and identifier.
func TestStringForms(t *testing.T) {
	for in, want := range map[string]string{
		`"a\n\t\"\\\s\u{e9}"`:           "a\n\t\"\\ é",
		"\"a\\  \n  b\"":                "ab",
		`#"a\n"#`:                       `a\n`,
		`##"a"#b"##`:                    `a"#b`,
		`word-1.x`:                      "word-1.x",
		`日本`:                            "日本",
		`-a`:                            "-a",
		`.a`:                            ".a",
		"\"\"\"\n  a\n   b\n\n  \"\"\"": "a\n b\n",
		"#\"\"\"\n  a\\n\n  \"\"\"#":    `a\n`,
		`""`:                            "",
	} {
		if v := parseArgument(t, in); v.Kind != String || v.Text != want {
			t.Errorf("%s: got %q, want %q", in, v.Text, want)
		}
	}
}

// A setting must have the value that the KDL specification gives its text. The test parses each form of a
// number.
func TestNumberForms(t *testing.T) {
	for in, want := range map[string]float64{"0": 0, "-1": -1, "+1_000": 1000, "1.5e-3": .0015, "0xFf": 255,
		"0o17": 15, "0b101": 5, "1e3": 1000, "#inf": math.Inf(1), "#-inf": math.Inf(-1)} {
		if v := parseArgument(t, in); v.Kind != Number || v.Num != want {
			t.Errorf("%s: got %v, want %v", in, v.Num, want)
		}
	}
}

// A value or node that is commented out must not take effect, and no comment may hide what follows it. The
// test parses nodes with arguments, properties, children, type annotations and each kind of comment.
func TestCommentsAndAnnotations(t *testing.T) {
	nodes, err := Parse("f", []byte("\uFEFFa 1 x=#true /-2 /-y=3 \\ // on\n  #null {\n"+
		"  /- gone {\n z\n }\n b; (t)c (u)1\n}\n/* x /* y */ z */ d /-{ e }\n/-\nf\n"))
	if err != nil {
		t.Fatal(err)
	}
	if len(nodes) != 2 || nodes[1].Name != "d" || len(nodes[1].Children) != 0 {
		t.Fatalf("got nodes %+v", nodes)
	}
	a := nodes[0]
	if len(a.Args) != 2 || a.Args[1].Kind != Null || len(a.Props) != 1 || !a.Props[0].Value.Bool ||
		len(a.Children) != 2 {
		t.Errorf("got node %+v", a)
	}
	if c := a.Children[1]; c.Type != "t" || c.Args[0].Type != "u" || c.Pos.Line != 6 {
		t.Errorf("got child %+v", c)
	}
}

// A malformed document must be rejected with an error that gives its position. Otherwise a typing error in
// the settings would change their meaning, or deep nesting would exhaust the stack.
func TestMalformedDocuments(t *testing.T) {
	for in, want := range map[string]string{
		"a {":                            "f:1",
		"a }":                            "f:1:3",
		"a\nb \"x":                       "f:2",
		"a true":                         "#true",
		"a 1x":                           "malformed",
		"a 0x":                           "malformed",
		"a 0xg":                          "malformed",
		"a 0x_f":                         "malformed",
		"a 1__.":                         "malformed",
		"a .5":                           "before its decimal point",
		"1 a":                            "number",
		"a #maybe":                       "not known",
		`a "\q"`:                         "escape",
		`a "\u{d800}"`:                   "not a Unicode character",
		"a {} 1":                         "after the block",
		"a {} {}":                        "second block",
		"a \"\"\"x\"\"\"":                "multi-line",
		"a \"\"\"\n x\n  \"\"\"":         "not indented",
		"a\x00":                          "U+0000",
		"a \u202e":                       "U+202E",
		"\xff":                           "not allowed",
		"a=1":                            "f:1",
		strings.Repeat("a {\n", 100_000): "deep",
	} {
		_, err := Parse("f", []byte(in))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("%.40q: got error %v, want one with %q", in, err, want)
		}
	}
}

// Any string must keep its value if it is quoted with the escapes that the KDL specification requires. The
// test does so with random strings.
func TestRandomStringRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.String().Draw(t, "s")
		var b strings.Builder
		for _, c := range s {
			if c == '"' || c == '\\' || c < ' ' || c >= 0x7f {
				b.WriteString(`\u{` + strings.ToLower(hexDigits(c)) + `}`)
			} else {
				b.WriteRune(c)
			}
		}
		nodes, err := Parse("f", []byte(`n "`+b.String()+`"`))
		if err != nil || nodes[0].Args[0].Text != s {
			t.Fatalf("%q: error %v", s, err)
		}
	})
}

// hexDigits returns the hexadecimal digits of c.
func hexDigits(c rune) string {
	const digits = "0123456789abcdef"
	s := ""
	for v := uint32(c); v > 0 || s == ""; v >>= 4 {
		s = string(digits[v&15]) + s
	}
	return s
}

// No document may crash the parser, and every error and every node must have a position. Otherwise an
// operator could not find the fault in a file of settings.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"a 1 {\nb\n}",
		"a #\"x\"# \"\"\"\n x\n \"\"\"",
		"/- a\nb /*c*/ (t)1 x=#nan",
		"a \\\n 0x1f",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		if len(in) > 4096 {
			return
		}
		nodes, err := Parse("f", in)
		if e, ok := err.(*Error); err != nil && (!ok || e.Pos.Line < 1 || e.Pos.Column < 1) {
			t.Fatalf("error without a position: %v", err)
		}
		for _, n := range nodes {
			if n.Pos.Line < 1 {
				t.Fatalf("node without a position: %+v", n)
			}
		}
	})
}
