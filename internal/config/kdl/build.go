package kdl

import (
	"fmt"
	"math"

	"github.com/alecthomas/participle/v2/lexer"
)

// builder converts the syntax tree to nodes. It keeps the first error.
type builder struct {
	file       string
	firstError *Error
}

// fail records an error at p, unless one was recorded before.
func (b *builder) fail(p lexer.Position, format string, args ...any) {
	if b.firstError == nil {
		b.firstError = &Error{b.file, position(p), fmt.Sprintf(format, args...)}
	}
}

func (b *builder) err() error {
	if b.firstError == nil {
		return nil
	}
	return b.firstError
}

func position(p lexer.Position) Pos { return Pos{p.Line, p.Column} }

// nodes returns the nodes of a list. It leaves out nodes that a slashdash ("/-") comments out, but still
// checks them for errors.
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
	n := &Node{Pos: position(e.Name.Pos), Type: b.annotation(e.Type), Name: b.text(e.Name)}
	hasBlock := false
	for _, x := range e.Entries {
		switch {
		case x.Children != nil:
			children := b.nodes(x.Children.Nodes)
			if x.Dash {
				continue
			}
			if hasBlock {
				b.fail(x.Pos, "second block of children, want one at most")
			}
			hasBlock, n.Children = true, children
		case hasBlock:
			b.fail(x.Pos, "value after the block of children")
		case x.Prop != nil:
			p := Prop{position(x.Prop.Pos), b.text(x.Prop.Name), b.value(x.Prop.Value)}
			if !x.Dash {
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

// annotation returns the text of a type annotation, or "" if there is none.
func (b *builder) annotation(a *annotation) string {
	if a == nil {
		return ""
	}
	return b.text(a.Name)
}

func (b *builder) value(v *value) Value {
	out := Value{Pos: position(v.Pos), Type: b.annotation(v.Type)}
	if v.Keyword != nil {
		b.keyword(v, &out)
		return out
	}
	if w := v.Text.Word; w != nil {
		if num, ok, err := parseNumber(*w); ok {
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

// keyword sets the kind and value of out to those of a keyword such as #true.
func (b *builder) keyword(v *value, out *Value) {
	word := *v.Keyword
	switch word {
	case "#true", "#false":
		out.Kind, out.Bool = Bool, word == "#true"
	case "#null":
		out.Kind = Null
	case "#inf":
		out.Kind, out.Text, out.Num = Number, word, math.Inf(1)
	case "#-inf":
		out.Kind, out.Text, out.Num = Number, word, math.Inf(-1)
	case "#nan":
		out.Kind, out.Text, out.Num = Number, word, math.NaN()
	default:
		b.fail(v.Pos, "keyword %s is not known", word)
	}
}
