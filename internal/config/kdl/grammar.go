package kdl

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Character classes of the KDL specification as regular expressions.
const (
	// Newlines (section 3.18) and white space (section 3.17).
	newline = `(?:\r\n|[\r\n\x{85}\x{0B}\x{0C}\x{2028}\x{2029}])`
	space   = `[\t \x{A0}\x{1680}\x{2000}-\x{200A}\x{202F}\x{205F}\x{3000}]`
	// nonIdentChars lists the characters that an identifier must not contain.
	nonIdentChars = `\\/(){};\[\]"#=\t \x{A0}\x{1680}\x{2000}-\x{200A}\x{202F}\x{205F}\x{3000}` +
		`\r\n\x{85}\x{0B}\x{0C}\x{2028}\x{2029}`
	ident = `[^` + nonIdentChars + `]+`
)

// lex splits a document into tokens. It tries the rules of a state in their order, so a rule stands before
// those that match only the beginning of its token. The parser ignores the tokens whose names start with a
// lower-case letter: white space and block comments.
//
// KDL allows any number of number signs around a raw string. A regular expression cannot check that both ends
// have the same number, so one, two and three number signs each have a rule. More of them are a syntax error.
var lex = lexer.MustStateful(lexer.Rules{
	"Root": {
		{Name: "BOM", Pattern: `\x{FEFF}`},
		{Name: "Slashdash", Pattern: `/-`},
		{Name: "LineComment", Pattern: `//[^\r\n\x{85}\x{0B}\x{0C}\x{2028}\x{2029}]*`},
		{Name: "comment", Pattern: `/\*`, Action: lexer.Push("Comment")},
		{Name: "Continued",
			Pattern: `\\(?:` + space + `|/\*(?:[^*]|\*[^/])*\*/)*(?://[^\r\n]*)?(?:` + newline + `|$)`},
		{Name: "Newline", Pattern: newline},
		{Name: "space", Pattern: space + `+`},
		{Name: "RawMulti3", Pattern: `###"""(?s:.*?)"""###`},
		{Name: "RawMulti2", Pattern: `##"""(?s:.*?)"""##`},
		{Name: "RawMulti1", Pattern: `#"""(?s:.*?)"""#`},
		{Name: "Raw3", Pattern: `###"[^\r\n]*?"###`},
		{Name: "Raw2", Pattern: `##"[^\r\n]*?"##`},
		{Name: "Raw1", Pattern: `#"[^\r\n]*?"#`},
		{Name: "Multi", Pattern: `"""(?s:(?:\\.|[^\\])*?)"""`},
		{Name: "Quoted", Pattern: `"(?:\\(?:(?:` + space + `|` + newline + `)+|(?s:.))` +
			`|[^"\\\r\n\x{85}\x{0B}\x{0C}\x{2028}\x{2029}])*"`},
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

// The following types define the grammar: participle builds the parser from their struct tags.

// document is a whole document.
type document struct {
	Nodes []*entryNode `parser:"BOM? (Newline | LineComment | ';' | @@)*"`
}

// entryNode is a node with its arguments, properties and children. The grammar accepts entries after a block
// of children; the builder reports them as errors.
type entryNode struct {
	Pos     lexer.Position
	Dash    bool        `parser:"( @Slashdash (Newline | LineComment | Continued)* )?"`
	Type    *annotation `parser:"@@?"`
	Name    *text       `parser:"@@"`
	Entries []*entry    `parser:"(Continued | @@)*"`
}

// annotation is a type annotation, such as "(t)".
type annotation struct {
	Name *text `parser:"'(' @@ ')'"`
}

// entry is a block of children, a property or an argument. Dash is true if a slashdash comments it out.
type entry struct {
	Pos      lexer.Position
	Dash     bool      `parser:"( @Slashdash (Newline | LineComment | Continued)* )?"`
	Children *children `parser:"( @@"`
	Prop     *prop     `parser:"| @@"`
	Value    *value    `parser:"| @@ )"`
}

// children is a block of child nodes.
type children struct {
	Open  string       `parser:"@'{'"`
	Nodes []*entryNode `parser:"(Newline | LineComment | Continued | ';' | @@)* '}'"`
}

// prop is a property.
type prop struct {
	Pos   lexer.Position
	Name  *text  `parser:"@@ '='"`
	Value *value `parser:"@@"`
}

// value is a keyword, a string or a number. A number is parsed as a Word; the builder distinguishes them.
type value struct {
	Pos     lexer.Position
	Type    *annotation `parser:"@@?"`
	Keyword *string     `parser:"( @Keyword"`
	Text    *text       `parser:"| @@ )"`
}

// text is an identifier or a string. Exactly one of the pointers is set.
type text struct {
	Pos      lexer.Position
	Quoted   *string `parser:"  @Quoted"`
	Multi    *string `parser:"| @Multi"`
	Raw      *string `parser:"| @(Raw1 | Raw2 | Raw3)"`
	RawMulti *string `parser:"| @(RawMulti1 | RawMulti2 | RawMulti3)"`
	Word     *string `parser:"| @Word"`
}

var parser = participle.MustBuild[document](participle.Lexer(lex),
	participle.Elide("space", "comment", "commentOpen", "commentEnd", "commentText"),
	participle.UseLookahead(8))
