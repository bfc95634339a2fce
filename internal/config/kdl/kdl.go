// Package kdl reads documents of the KDL document language, version 2 (kdl.dev/spec). Grammar and lexer are those of
// the library participle. What a regular expression can't express of the language is done around them: forbidden
// characters and depth before, escapes, indents and numbers after.
package kdl

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
)

// Pos is a position in a document. Lines and columns count from 1, columns in characters.
type Pos struct{ Line, Column int }

// Error says what is wrong in a document, and where.
type Error struct {
	File string
	Pos  Pos
	Text string
}

// Error is the text for operators.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Pos.Line, e.Pos.Column, e.Text)
}

// Node is a node of a document.
type Node struct {
	Pos      Pos
	Type     string // annotation; may be empty
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

// Kind is the type of a value.
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
	Type string // annotation; may be empty
	Kind Kind
	Text string  // of a String; of a Number as written
	Num  float64 // of a Number
	Bool bool    // of a Bool
}

// String is the value as a document could have it.
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

// maxDepth is how deep nodes may be nested.
const maxDepth = 64

// Parse reads a document; file is only named in errors. The error is an *Error.
func Parse(file string, src []byte) ([]*Node, error) {
	if at, c := findForbidden(src); at >= 0 {
		return nil, &Error{file, positionOf(src, at), fmt.Sprintf("character %U is not allowed", c)}
	}
	if d := nestingBound(src); d > maxDepth {
		return nil, &Error{file, Pos{1, 1}, fmt.Sprintf("nodes lie %d deep, %d at most", d, maxDepth)}
	}
	doc, err := parser.ParseBytes(file, src)
	if err != nil {
		var syntax participle.Error
		if !errors.As(err, &syntax) {
			return nil, &Error{file, Pos{1, 1}, err.Error()}
		}
		return nil, &Error{file, position(syntax.Position()), syntax.Message()}
	}
	b := &builder{file: file}
	nodes := b.nodes(doc.Nodes)
	return nodes, b.err()
}

// positionOf is the position of a byte.
func positionOf(src []byte, at int) Pos {
	before := string(src[:at])
	line := strings.Count(before, "\n")
	return Pos{line + 1, utf8.RuneCountInString(before[strings.LastIndexByte(before, '\n')+1:]) + 1}
}

// findForbidden finds a character that is not allowed in a document (specification section 3.19); at is below 0: there is
// none.
func findForbidden(src []byte) (at int, c rune) {
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

// nestingBound is an upper bound of the nesting of nodes and comments. It is computed before parsing, as the parser's
// recursion could exhaust the stack. Braces in strings and comments count too.
func nestingBound(src []byte) int {
	deepest, d := 0, 0
	for i, c := range src {
		switch {
		case c == '{', c == '/' && i+1 < len(src) && src[i+1] == '*':
			d++
			deepest = max(deepest, d)
		case c == '}', c == '*' && i+1 < len(src) && src[i+1] == '/':
			d = max(0, d-1)
		}
	}
	return deepest
}
