package websocket

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// Limits for the opening handshake. They are strict because the peer is not authenticated yet.
const (
	maxLineBytes    = 8 << 10
	maxHeaderFields = 64
)

// Header contains header fields by lower-case name. The values of a repeated field are joined with ", "
// (RFC 9110, section 5.3).
type Header map[string]string

// hasToken reports whether the comma-separated list in the named field contains token. Tokens are compared
// case-insensitively.
func (h Header) hasToken(name, token string) bool {
	for _, v := range strings.Split(h[name], ",") {
		if strings.EqualFold(strings.TrimSpace(v), token) {
			return true
		}
	}
	return false
}

// readLine reads a line and returns it without its line end, which is CRLF or a bare LF (RFC 9112, section
// 2.2). It returns a *HandshakeError if the line has more than limit bytes including its end.
func readLine(in *bufio.Reader, limit int) (string, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return "", handshakeErrorf(431, "a line of more than %d bytes", limit)
		}
		line = append(line, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) && len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
	return string(line), nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		alnum := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alnum && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// readHeaderFields reads the header fields up to and including the empty line. It returns a *HandshakeError
// if they are malformed or too many.
func readHeaderFields(in *bufio.Reader) (Header, error) {
	header := Header{}
	for n := 0; ; n++ {
		line, err := readLine(in, maxLineBytes)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if line == "" {
			return header, nil
		}
		if n >= maxHeaderFields {
			return nil, handshakeErrorf(431, "more than %d header fields", maxHeaderFields)
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) { // also rejects obsolete line folding (RFC 9112, section 5.2)
			return nil, handshakeErrorf(400, "header field %q is malformed", truncate(line))
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsFunc(value, isControlCharacter) {
			return nil, handshakeErrorf(400, "header field %q holds a control character", truncate(name))
		}
		name = strings.ToLower(name)
		if previous, repeated := header[name]; repeated {
			if name == "host" || name == "sec-websocket-key" || name == "authorization" {
				return nil, handshakeErrorf(400, "header field %q comes twice", name)
			}
			value = previous + ", " + value
		}
		header[name] = value
	}
}

func isControlCharacter(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// maxQuotedBytes is the maximum number of bytes of text from the peer in an error message.
const maxQuotedBytes = 40

// truncate shortens s to maxQuotedBytes bytes for an error message.
func truncate(s string) string {
	if len(s) > maxQuotedBytes {
		return s[:maxQuotedBytes] + "..."
	}
	return s
}
