package kdl

import (
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
)

// text returns the content of an identifier or of a string in any of its forms.
func (b *builder) text(t *text) string {
	switch {
	case t.Word != nil:
		w := *t.Word
		if _, isNum, _ := parseNumber(w); isNum {
			b.fail(t.Pos, "%q is a number, want a name", w)
		}
		switch w {
		case "true", "false", "null", "inf", "-inf", "nan":
			b.fail(t.Pos, "%q must be written as #%s, or in quotes as a string", w, w)
		}
		return w
	case t.Quoted != nil:
		s := *t.Quoted
		return b.unescape(t.Pos, s[1:len(s)-1])
	case t.Raw != nil:
		s := strings.Trim(*t.Raw, "#")
		return s[1 : len(s)-1]
	case t.Multi != nil:
		s := *t.Multi
		return b.unescape(t.Pos, b.dedent(t.Pos, s[3:len(s)-3], true))
	default:
		s := strings.Trim(*t.RawMulti, "#")
		return b.dedent(t.Pos, s[3:len(s)-3], false)
	}
}

// dedent returns the content of a multi-line string: it removes the indentation of the last line from each
// line (specification section 3.12). If escapes is true, it first removes escaped white space, which may
// contain newlines.
func (b *builder) dedent(p lexer.Position, s string, escapes bool) string {
	if escapes {
		s = removeEscapedSpace(s)
	}
	s = newlines.Replace(s)
	lines := strings.Split(s, "\n")
	if len(lines) < 2 || lines[0] != "" {
		b.fail(p, "the opening quotes of a multi-line string must be followed by a newline")
		return s
	}
	indent := lines[len(lines)-1]
	if strings.TrimFunc(indent, isSpace) != "" {
		b.fail(p, "the last line of a multi-line string must contain only its indentation")
		return s
	}
	body := lines[1 : len(lines)-1]
	for i, l := range body {
		switch {
		case strings.TrimFunc(l, isSpace) == "":
			body[i] = ""
		case !strings.HasPrefix(l, indent):
			b.fail(p, "line %d of a multi-line string is not indented like its last line", i+1)
		default:
			body[i] = l[len(indent):]
		}
	}
	return strings.Join(body, "\n")
}

// newlines replaces each KDL newline by a line feed.
var newlines = strings.NewReplacer("\r\n", "\n", "\r", "\n", "\u0085", "\n", "\v", "\n", "\f", "\n",
	"\u2028", "\n", "\u2029", "\n")

func isSpace(c rune) bool {
	return strings.ContainsRune("\t \u00A0\u1680\u202F\u205F\u3000", c) || c >= 0x2000 && c <= 0x200A
}

func isNewline(c rune) bool { return strings.ContainsRune("\r\n\u0085\v\f\u2028\u2029", c) }

// removeEscapedSpace removes each backslash that is followed by white space or newlines, together with these.
func removeEscapedSpace(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' || i+1 == len(s) {
			b.WriteByte(s[i])
			continue
		}
		rest := s[i+1:]
		trimmed := strings.TrimLeftFunc(rest, func(c rune) bool { return isSpace(c) || isNewline(c) })
		if trimmed == rest {
			b.WriteString(s[i : i+2])
			i++
			continue
		}
		i += len(rest) - len(trimmed)
	}
	return b.String()
}

// escapes lists the characters of the single-character escapes; unescaped lists their values in the same
// order.
const (
	escapes   = `nrt\"bfs`
	unescaped = "\n\r\t\\\"\b\f "
)

// unescape replaces the escapes of a string by the characters that they stand for (specification section
// 3.11.1).
func (b *builder) unescape(p lexer.Position, s string) string {
	var out strings.Builder
	s = removeEscapedSpace(s)
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' {
			out.WriteByte(s[i])
			continue
		}
		if i++; i == len(s) {
			b.fail(p, "a string ends inside an escape")
			break
		}
		if at := strings.IndexByte(escapes, s[i]); at >= 0 {
			out.WriteByte(unescaped[at])
			continue
		}
		end := strings.IndexByte(s[i:], '}')
		if s[i] != 'u' || end < 3 || end > 8 || s[i+1] != '{' {
			b.fail(p, `escape \%c is not known`, s[i])
			continue
		}
		v, err := strconv.ParseUint(s[i+2:i+end], 16, 32)
		if err != nil || v > utf8.MaxRune || isSurrogate(v) {
			b.fail(p, `escape \%s is not a Unicode character`, s[i:i+end+1])
			continue
		}
		out.WriteRune(rune(v))
		i += end
	}
	return out.String()
}

func isSurrogate(v uint64) bool { return v >= 0xD800 && v <= 0xDFFF }
