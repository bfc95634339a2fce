// Package kdl reads documents of the KDL document language, version 2 (kdl.dev/spec). Its grammar stands on
// participle; the lexer is a stateful one of that library, and what a regular expression can't say of the
// language (dedenting of multi-line strings, forbidden characters) is done after it.
package kdl

import (
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Pos is a place in a document; lines and columns count from 1, columns in characters.
type Pos struct{ Line, Column int }

// Error says what is wrong at a place.
type Error struct {
	File string
	Pos  Pos
	Text string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Pos.Line, e.Pos.Column, e.Text)
}

// Node is a node of a document.
type Node struct {
	Pos      Pos
	Type     string // annotation, or empty
	Name     string
	Args     []Value
	Props    []Prop // in the order of the text; of equal names the last counts
	Children []*Node
}

// Prop is a property of a node.
type Prop struct {
	Pos   Pos
	Name  string
	Value Value
}

// Kind is a value's.
type Kind int

// The kinds of value.
const (
	Null Kind = iota
	Bool
	Number
	String
)

// Value is an argument or a property's value.
type Value struct {
	Pos  Pos
	Type string
	Kind Kind
	Text string // of a String; of a Number its digits as written
	Num  float64
	Bool bool
}

func (v Value) String() string {
	switch v.Kind {
	case Null:
		return "#null"
	case Bool:
		return "#" + strconv.FormatBool(v.Bool)
	case Number:
		return v.Text
	}
	return strconv.Quote(v.Text)
}

// newline and unicode space of the specification (section 3.17 and 3.18).
const (
	newline = `(?:\r\n|[\r\n\x{85}\x{0B}\x{0C}\x{2028}\x{2029}])`
	space   = `[\t \x{A0}\x{1680}\x{2000}-\x{200A}\x{202F}\x{205F}\x{3000}]`
	// An identifier holds none of these anywhere ...
	notIdent = `\\/(){};\[\]"#=\t \x{A0}\x{1680}\x{2000}-\x{200A}\x{202F}\x{205F}\x{3000}` +
		`\r\n\x{85}\x{0B}\x{0C}\x{2028}\x{2029}`
	ident = `[^` + notIdent + `]+`
)

var lex = lexer.MustStateful(lexer.Rules{
	"Root": {
		{Name: "BOM", Pattern: `\x{FEFF}`},
		{Name: "Slashdash", Pattern: `/-`},
		{Name: "LineComment", Pattern: `//[^\r\n\x{85}\x{0B}\x{0C}\x{2028}\x{2029}]*`},
		{Name: "comment", Pattern: `/\*`, Action: lexer.Push("Comment")},
		{Name: "Continued", Pattern: `\\(?:` + space + `|/\*(?:[^*]|\*[^/])*\*/)*(?://[^\r\n]*)?(?:` + newline + `|$)`},
		{Name: "Newline", Pattern: newline},
		{Name: "space", Pattern: space + `+`},
		{Name: "RawMulti3", Pattern: `###"""(?s:.*?)"""###`},
		{Name: "RawMulti2", Pattern: `##"""(?s:.*?)"""##`},
		{Name: "RawMulti1", Pattern: `#"""(?s:.*?)"""#`},
		{Name: "Raw3", Pattern: `###"[^\r\n]*?"###`},
		{Name: "Raw2", Pattern: `##"[^\r\n]*?"##`},
		{Name: "Raw1", Pattern: `#"[^\r\n]*?"#`},
		{Name: "Multi", Pattern: `"""(?s:(?:\\.|[^\\])*?)"""`},
		{Name: "Quoted", Pattern: `"(?:\\(?:(?:` + space + `|` + newline + `)+|(?s:.))|[^"\\\r\n\x{85}\x{0B}\x{0C}\x{2028}\x{2029}])*"`},
		{Name: "Keyword", Pattern: `#-?[a-z]+`},
		{Name: "Word", Pattern: ident},
		{Name: "Punct", Pattern: `[(){};=]`},
	},
	"Comment": {
		{Name: "commentOpen", Pattern: `/\*`, Action: lexer.Push("Comment")},
		{Name: "commentEnd", Pattern: `\*/`, Action: lexer.Pop()},
		{Name: "commentText", Pattern: `[^*/]+|[*/]`},
	},
})

// The grammar, as participle reads it. Spaces never matter to it but where the language asks for one: that is
// checked by the places of tokens.
type document struct {
	Nodes []*entryNode `parser:"BOM? (Newline | LineComment | ';' | @@)*"`
}

// What ends a node needs no rule: a value or a name behind a block of children is found by the builder.
type entryNode struct {
	Pos     lexer.Position
	Dash    bool        `parser:"( @Slashdash (Newline | LineComment | Continued)* )?"`
	Type    *annotation `parser:"@@?"`
	Name    *text       `parser:"@@"`
	Entries []*entry    `parser:"(Continued | @@)*"`
}

type annotation struct {
	Name *text `parser:"'(' @@ ')'"`
}

type entry struct {
	Pos      lexer.Position
	Dash     bool      `parser:"( @Slashdash (Newline | LineComment | Continued)* )?"`
	Children *children `parser:"( @@"`
	Prop     *prop     `parser:"| @@"`
	Value    *value    `parser:"| @@ )"`
}

type children struct {
	Open  string       `parser:"@'{'"`
	Nodes []*entryNode `parser:"(Newline | LineComment | Continued | ';' | @@)* '}'"`
}

type prop struct {
	Pos   lexer.Position
	Name  *text  `parser:"@@ '='"`
	Value *value `parser:"@@"`
}

type value struct {
	Pos     lexer.Position
	Type    *annotation `parser:"@@?"`
	Keyword *string     `parser:"( @Keyword"`
	Text    *text       `parser:"| @@ )"`
}

type text struct {
	Pos    lexer.Position
	Quoted *string `parser:"  @Quoted"`
	Multi  *string `parser:"| @Multi"`
	Raw    *string `parser:"| @(Raw1 | Raw2 | Raw3)"`
	RawM   *string `parser:"| @(RawMulti1 | RawMulti2 | RawMulti3)"`
	Word   *string `parser:"| @Word"`
}

var parser = participle.MustBuild[document](participle.Lexer(lex),
	participle.Elide("space", "comment", "commentOpen", "commentEnd", "commentText"), participle.UseLookahead(8))

// MaxDepth is how deep nodes may lie in nodes.
const MaxDepth = 64

// Parse reads a document. file is only named in errors; the error is an *Error.
func Parse(file string, src []byte) ([]*Node, error) {
	if at, c := forbidden(src); at >= 0 {
		return nil, &Error{file, place(src, at), fmt.Sprintf("character %U is not allowed", c)}
	}
	if d := depth(src); d > MaxDepth {
		return nil, &Error{file, Pos{1, 1}, fmt.Sprintf("nodes lie %d deep, %d at most", d, MaxDepth)}
	}
	doc, err := parser.ParseBytes(file, src)
	if err != nil {
		pe, ok := err.(participle.Error)
		if !ok {
			return nil, &Error{file, Pos{1, 1}, err.Error()}
		}
		return nil, &Error{file, pos(pe.Position()), pe.Message()}
	}
	b := &builder{file: file}
	nodes := b.nodes(doc.Nodes)
	return nodes, b.err()
}

func pos(p lexer.Position) Pos { return Pos{p.Line, p.Column} }

func place(src []byte, at int) Pos {
	before := src[:at]
	line := strings.Count(string(before), "\n")
	return Pos{line + 1, utf8.RuneCount(before[strings.LastIndexByte(string(before), '\n')+1:]) + 1}
}

// forbidden finds a character that may stand nowhere in a document (specification section 3.19).
func forbidden(src []byte) (at int, c rune) {
	for i := 0; i < len(src); {
		c, n := utf8.DecodeRune(src[i:])
		if c == utf8.RuneError && n <= 1 || c <= 0x08 || c >= 0x0E && c <= 0x1F || c == 0x7F ||
			c >= 0x200E && c <= 0x200F || c >= 0x202A && c <= 0x202E || c >= 0x2066 && c <= 0x2069 ||
			c == 0xFEFF && i > 0 {
			return i, c
		}
		i += n
	}
	return -1, 0
}

// depth bounds the parser's recursion before it starts; strings and comments may only make it look deeper.
func depth(src []byte) int {
	most, d := 0, 0
	for i, c := range src {
		switch {
		case c == '{', c == '/' && i+1 < len(src) && src[i+1] == '*':
			d++
			most = max(most, d)
		case c == '}', c == '*' && i+1 < len(src) && src[i+1] == '/':
			d = max(0, d-1)
		}
	}
	return most
}

type builder struct {
	file  string
	first *Error
}

func (b *builder) fail(p lexer.Position, format string, args ...any) {
	if b.first == nil {
		b.first = &Error{b.file, pos(p), fmt.Sprintf(format, args...)}
	}
}

func (b *builder) err() error {
	if b.first == nil {
		return nil
	}
	return b.first
}

func (b *builder) nodes(in []*entryNode) []*Node {
	var out []*Node
	for _, e := range in {
		if n := b.node(e); !e.Dash {
			out = append(out, n)
		}
	}
	return out
}

func (b *builder) node(e *entryNode) *Node {
	n := &Node{Pos: pos(e.Name.Pos), Type: b.annotated(e.Type), Name: b.text(e.Name)}
	had := false
	for _, x := range e.Entries {
		switch {
		case x.Children != nil:
			kids := b.nodes(x.Children.Nodes)
			if x.Dash {
				continue
			}
			if had {
				b.fail(x.Pos, "a second block of children")
			}
			had, n.Children = true, kids
		case had:
			b.fail(x.Pos, "a value after the block of children")
		case x.Prop != nil:
			if p := (Prop{pos(x.Prop.Pos), b.text(x.Prop.Name), b.value(x.Prop.Value)}); !x.Dash {
				n.Props = append(n.Props, p)
			}
		default:
			if v := b.value(x.Value); !x.Dash {
				n.Args = append(n.Args, v)
			}
		}
	}
	return n
}

func (b *builder) annotated(a *annotation) string {
	if a == nil {
		return ""
	}
	return b.text(a.Name)
}

func (b *builder) value(v *value) Value {
	out := Value{Pos: pos(v.Pos), Type: b.annotated(v.Type)}
	if v.Keyword != nil {
		switch *v.Keyword {
		case "#true", "#false":
			out.Kind, out.Bool = Bool, *v.Keyword == "#true"
		case "#null":
		case "#inf":
			out.Kind, out.Text, out.Num = Number, *v.Keyword, math.Inf(1)
		case "#-inf":
			out.Kind, out.Text, out.Num = Number, *v.Keyword, math.Inf(-1)
		case "#nan":
			out.Kind, out.Text, out.Num = Number, *v.Keyword, math.NaN()
		default:
			b.fail(v.Pos, "keyword %s is not known", *v.Keyword)
		}
		return out
	}
	if w := v.Text.Word; w != nil {
		if num, ok, err := number(*w); ok {
			if err != nil {
				b.fail(v.Pos, "%v", err)
			}
			out.Kind, out.Text, out.Num = Number, *w, num
			return out
		}
	}
	out.Kind, out.Text = String, b.text(v.Text)
	return out
}

func (b *builder) text(t *text) string {
	switch {
	case t.Word != nil:
		w := *t.Word
		if _, isNum, _ := number(w); isNum {
			b.fail(t.Pos, "%q is a number where a name is wanted", w)
		}
		switch w {
		case "true", "false", "null", "inf", "-inf", "nan":
			b.fail(t.Pos, "%q must be written #%s, or in quotes as a string", w, w)
		}
		return w
	case t.Quoted != nil:
		s := *t.Quoted
		return b.unescape(t.Pos, s[1:len(s)-1])
	case t.Raw != nil:
		return strings.Trim(*t.Raw, "#")[1 : len(strings.Trim(*t.Raw, "#"))-1]
	case t.Multi != nil:
		s := *t.Multi
		return b.unescape(t.Pos, b.dedent(t.Pos, s[3:len(s)-3], true))
	default:
		s := strings.Trim(*t.RawM, "#")
		return b.dedent(t.Pos, s[3:len(s)-3], false)
	}
}

// dedent takes the last line's indent off each line (specification section 3.12). Escaped white space is
// taken out first where escapes count, since it may hold line ends.
func (b *builder) dedent(p lexer.Position, s string, escapes bool) string {
	if escapes {
		s = dropEscapedSpace(s)
	}
	s = strings.NewReplacer("\r\n", "\n", "\r", "\n", "\u0085", "\n", "\v", "\n", "\f", "\n", "\u2028", "\n",
		"\u2029", "\n").Replace(s)
	lines := strings.Split(s, "\n")
	if len(lines) < 2 || lines[0] != "" {
		b.fail(p, "a multi-line string must begin and end with a line of its own")
		return s
	}
	indent := lines[len(lines)-1]
	if strings.TrimFunc(indent, isSpace) != "" {
		b.fail(p, "the last line of a multi-line string holds more than its indent")
		return s
	}
	body := lines[1 : len(lines)-1]
	for i, l := range body {
		switch {
		case strings.TrimFunc(l, isSpace) == "":
			body[i] = ""
		case !strings.HasPrefix(l, indent):
			b.fail(p, "line %d of a multi-line string is not indented as its last one", i+1)
		default:
			body[i] = l[len(indent):]
		}
	}
	return strings.Join(body, "\n")
}

func isSpace(c rune) bool {
	return strings.ContainsRune("\t \u00A0\u1680\u202F\u205F\u3000", c) || c >= 0x2000 && c <= 0x200A
}

func isNewline(c rune) bool { return strings.ContainsRune("\r\n\u0085\v\f\u2028\u2029", c) }

func dropEscapedSpace(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' || i+1 == len(s) {
			b.WriteByte(s[i])
			continue
		}
		rest := s[i+1:]
		left := strings.TrimLeftFunc(rest, func(c rune) bool { return isSpace(c) || isNewline(c) })
		if left == rest {
			b.WriteString(s[i : i+2])
			i++
			continue
		}
		i += len(rest) - len(left)
	}
	return b.String()
}

func (b *builder) unescape(p lexer.Position, s string) string {
	var out strings.Builder
	s = dropEscapedSpace(s)
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' {
			out.WriteByte(s[i])
			continue
		}
		if i++; i == len(s) {
			b.fail(p, "a string ends inside an escape")
			break
		}
		if at := strings.IndexByte(`nrt\"bfs`, s[i]); at >= 0 {
			out.WriteByte("\n\r\t\\\"\b\f "[at])
			continue
		}
		end := strings.IndexByte(s[i:], '}')
		if s[i] != 'u' || end < 3 || end > 8 || s[i+1] != '{' {
			b.fail(p, `escape \%c is not known`, s[i])
			continue
		}
		v, err := strconv.ParseUint(s[i+2:i+end], 16, 32)
		if err != nil || v > utf8.MaxRune || v >= 0xD800 && v <= 0xDFFF {
			b.fail(p, `escape \%s names no character`, s[i:i+end+1])
			continue
		}
		out.WriteRune(rune(v))
		i += end
	}
	return out.String()
}

// number reads a number; ok is false for a word that does not begin as one (specification section 3.14).
func number(w string) (v float64, ok bool, err error) {
	body := strings.TrimLeft(w, "+-")
	if len(w)-len(body) > 1 || body == "" || body[0] < '0' || body[0] > '9' {
		if len(w)-len(body) <= 1 && len(body) > 1 && body[0] == '.' && body[1] >= '0' && body[1] <= '9' {
			return 0, true, fmt.Errorf("number %q has no digit before its point", w)
		}
		return 0, false, nil
	}
	bad := fmt.Errorf("number %q is malformed", w)
	clean := strings.ReplaceAll(body, "_", "")
	if len(body) > 2 && body[0] == '0' && strings.IndexByte("xob", body[1]) >= 0 {
		base := map[byte]int{'x': 16, 'o': 8, 'b': 2}[body[1]]
		n, fine := new(big.Int).SetString(clean[2:], base)
		if !fine || body[2] == '_' || strings.ContainsAny(clean[2:], "+-") {
			return 0, true, bad
		}
		v, _ = new(big.Float).SetInt(n).Float64()
	} else {
		for i, part := range strings.FieldsFunc(body, func(c rune) bool { return strings.ContainsRune(".eE+-", c) }) {
			if part[0] == '_' || i > 2 {
				return 0, true, bad
			}
		}
		if strings.ContainsAny(clean, "xXpPnNiI") || strings.Contains(clean, ".e") || strings.Contains(clean, ".E") ||
			strings.HasSuffix(clean, ".") {
			return 0, true, bad
		}
		if v, err = strconv.ParseFloat(clean, 64); err != nil && !math.IsInf(v, 0) {
			return 0, true, bad
		}
	}
	if w[0] == '-' {
		v = -v
	}
	return v, true, nil
}
