// Package kdl parses documents of the KDL document language, version 2 (kdl.dev/spec). The lexer and parser
// are those of the library participle. Rules that regular expressions cannot express are implemented
// separately: forbidden characters and the nesting depth are checked before parsing; escapes, indentation and
// numbers are handled after it.
package kdl

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
)

// Pos is a position in a document. Lines and columns start at 1. Columns count characters, not bytes.
type Pos struct{ Line, Column int }

// Error describes a syntax error.
type Error struct {
	File string
	Pos  Pos
	Text string
}

// Error returns the file, line, column and text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Pos.Line, e.Pos.Column, e.Text)
}

// Node is a node of a document, with its arguments, properties and child nodes.
type Node struct {
	Pos      Pos
	Type     string // type annotation; empty: none
	Name     string
	Args     []Value
	Props    []Prop // in the order of the document; names may repeat, and KDL uses the last of equal names
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

// The kinds of values.
const (
	Null Kind = iota
	Bool
	Number
	String
)

// Value is an argument or the value of a property.
type Value struct {
	Pos  Pos
	Type string // type annotation; empty: none
	Kind Kind
	Text string  // content of a String, or a Number as written in the document
	Num  float64 // value of a Number, which may be infinite or NaN
	Bool bool    // value of a Bool
}

// String returns the value as it is shown in errors: approximately in KDL syntax, but strings have Go's
// escapes.
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

// maxDepth is the largest accepted result of nestingBound.
const maxDepth = 64

// Parse parses a document and returns its top-level nodes. file is the file name used in errors; it is not
// opened. The error, if any, is an *Error.
func Parse(file string, src []byte) ([]*Node, error) {
	if at, c := findForbidden(src); at >= 0 {
		return nil, &Error{file, positionOf(src, at), fmt.Sprintf("character %U is not allowed", c)}
	}
	if d := nestingBound(src); d > maxDepth {
		return nil, &Error{file, Pos{1, 1}, fmt.Sprintf("nodes nested %d deep, want at most %d", d, maxDepth)}
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

// positionOf returns the position of the byte at offset at.
func positionOf(src []byte, at int) Pos {
	before := string(src[:at])
	line := strings.Count(before, "\n")
	return Pos{line + 1, utf8.RuneCountInString(before[strings.LastIndexByte(before, '\n')+1:]) + 1}
}

// findForbidden returns the offset and value of the first character that a document must not contain
// (specification section 3.19). The offset is -1 if there is none.
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

// nestingBound returns an upper bound of the nesting depth of nodes and comments. It is checked before
// parsing because the recursion of the parser could exhaust the stack. It counts braces in strings and
// comments too.
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
