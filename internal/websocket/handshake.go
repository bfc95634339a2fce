package websocket

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits of the opening handshake: what a peer that is not known yet may make us read.
const (
	maxLine         = 8 << 10
	maxHeaderFields = 64
)

const acceptGUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11" // RFC 6455 section 1.3

// Upgrade is a client's opening handshake.
type Upgrade struct {
	Path   string
	Host   string
	Header Header
	key    string
}

// Header holds header fields by name in lower case; a repeated field's values are joined by ", "
// (RFC 9110 section 5.3).
type Header map[string]string

// Refusal is an answer to a handshake that can't be accepted.
type HandshakeError struct {
	Status      int
	Reason      string
	ExtraHeader string // further header lines, each with its line end
}

func (e *HandshakeError) Error() string {
	return fmt.Sprintf("ws: handshake refused with %d: %s", e.Status, e.Reason)
}

func handshakeErrorf(status int, format string, args ...any) *HandshakeError {
	return &HandshakeError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// readLine reads a line without its end. Lines end with CRLF; a bare LF is taken too (RFC 9112 section 2.2).
func readLine(br *bufio.Reader, limit int) (string, error) {
	var line []byte
	for {
		part, err := br.ReadSlice('\n')
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

// readHeader reads header fields up to the empty line.
func readHeaderFields(br *bufio.Reader) (Header, error) {
	h := Header{}
	for n := 0; ; n++ {
		line, err := readLine(br, maxLine)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if line == "" {
			return h, nil
		}
		if n >= maxHeaderFields {
			return nil, handshakeErrorf(431, "more than %d header fields", maxHeaderFields)
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) { // also refuses obsolete folding (RFC 9112 section 5.2)
			return nil, handshakeErrorf(400, "header field %q is malformed", truncate(line))
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
			return nil, handshakeErrorf(400, "header field %q holds a control character", truncate(name))
		}
		name = strings.ToLower(name)
		if before, twice := h[name]; twice {
			if name == "host" || name == "sec-websocket-key" || name == "authorization" {
				return nil, handshakeErrorf(400, "header field %q comes twice", name)
			}
			value = before + ", " + value
		}
		h[name] = value
	}
}

func truncate(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

// Has reports whether a comma-separated field holds a token, in any case.
func (h Header) Has(name, token string) bool {
	for _, v := range strings.Split(h[name], ",") {
		if strings.EqualFold(strings.TrimSpace(v), token) {
			return true
		}
	}
	return false
}

// ReadUpgrade reads a client's opening handshake (RFC 6455 section 4.2.1). A *Refusal tells how to answer one
// that is wrong; any other error is of the connection.
func ReadUpgrade(br *bufio.Reader) (*Upgrade, error) {
	line, err := readLine(br, maxLine)
	if err != nil {
		return nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !strings.HasPrefix(parts[2], "HTTP/") {
		return nil, handshakeErrorf(400, "request line %q is malformed", truncate(line))
	}
	h, err := readHeaderFields(br)
	if err != nil {
		return nil, err
	}
	u := &Upgrade{Path: parts[1], Host: h["host"], Header: h, key: h["sec-websocket-key"]}
	if parts[0] != "GET" {
		r := handshakeErrorf(405, "method %q, want GET", truncate(parts[0]))
		r.ExtraHeader = "Allow: GET\r\n"
		return nil, r
	}
	return u, u.validate(parts[2])
}

func (u *Upgrade) validate(version string) error {
	if version != "HTTP/1.1" {
		return handshakeErrorf(505, "version %q, want HTTP/1.1", truncate(version))
	}
	if u.Path == "" || u.Path[0] != '/' {
		return handshakeErrorf(400, "target %q, want a path", truncate(u.Path))
	}
	if u.Host == "" {
		return handshakeErrorf(400, "Host is missing")
	}
	if !u.Header.Has("connection", "upgrade") || !u.Header.Has("upgrade", "websocket") {
		r := handshakeErrorf(426, "this address speaks WebSocket")
		r.ExtraHeader = "Upgrade: websocket\r\n"
		return r
	}
	if v := u.Header["sec-websocket-version"]; v != "13" {
		r := handshakeErrorf(426, "Sec-WebSocket-Version %q, want 13", truncate(v))
		r.ExtraHeader = "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
		return r
	}
	if raw, err := base64.StdEncoding.DecodeString(u.key); err != nil || len(raw) != 16 {
		return handshakeErrorf(400, "Sec-WebSocket-Key %q, want 16 bytes in base64", truncate(u.key))
	}
	return nil
}

// Offers reports whether the client offered a subprotocol.
func (u *Upgrade) Offers(protocol string) bool {
	for _, v := range strings.Split(u.Header["sec-websocket-protocol"], ",") {
		if strings.TrimSpace(v) == protocol { // names of subprotocols keep their case
			return true
		}
	}
	return false
}

// Accept is the answer that opens the connection. No extension is ever agreed.
func (u *Upgrade) Accept(protocol string) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n")
	fmt.Fprintf(&b, "Sec-WebSocket-Accept: %s\r\n", acceptKey(u.key))
	if protocol != "" {
		fmt.Fprintf(&b, "Sec-WebSocket-Protocol: %s\r\n", protocol)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func acceptKey(key string) string {
	sum := sha1.Sum([]byte(key + acceptGUID))
	return base64.StdEncoding.EncodeToString(sum[:])
}

var statusText = map[int]string{400: "Bad Request", 401: "Unauthorized",
	403: "Forbidden", 404: "Not Found",
	405: "Method Not Allowed", 426: "Upgrade Required", 431: "Request Header Fields Too Large",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// Response is the whole HTTP answer of a refusal; the connection is closed after it.
func (e *HandshakeError) Response() []byte {
	body := e.Reason + "\n"
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s", e.Status, statusText[e.Status], e.ExtraHeader, len(body), body)
}

// Request is a client's side of the handshake.
type Request struct {
	Host, Path, Protocol string
	Header               map[string]string // further fields
	key                  string
}

// Bytes returns the opening handshake, with a new key.
func (r *Request) Bytes() []byte {
	var raw [16]byte
	rand.Read(raw[:]) // never fails, see crypto/rand
	r.key = base64.StdEncoding.EncodeToString(raw[:])
	var b bytes.Buffer
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: %s\r\n", r.Path, r.Host, r.key)
	if r.Protocol != "" {
		fmt.Fprintf(&b, "Sec-WebSocket-Protocol: %s\r\n", r.Protocol)
	}
	for name, value := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// ReadResponse reads the server's answer and checks it (RFC 6455 section 4.1). A *Refusal is the server's own.
func (r *Request) ReadResponse(br *bufio.Reader) error {
	line, err := readLine(br, maxLine)
	if err != nil {
		return err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || version != "HTTP/1.1" {
		return fmt.Errorf("ws: status line %q is malformed", truncate(line))
	}
	h, err := readHeaderFields(br)
	if err != nil {
		return fmt.Errorf("ws: answer to the handshake: %w", err)
	}
	if status != 101 {
		return handshakeErrorf(status, "%s", reason)
	}
	switch {
	case !h.Has("upgrade", "websocket") || !h.Has("connection", "upgrade"):
		return errors.New("ws: answer 101 does not upgrade to websocket")
	case h["sec-websocket-accept"] != acceptKey(r.key):
		return fmt.Errorf("ws: Sec-WebSocket-Accept is %q, want %q", truncate(h["sec-websocket-accept"]), acceptKey(r.key))
	case h["sec-websocket-extensions"] != "":
		return fmt.Errorf("ws: extension %q was not asked for", truncate(h["sec-websocket-extensions"]))
	case h["sec-websocket-protocol"] != r.Protocol:
		return fmt.Errorf("ws: subprotocol %q, want %q", truncate(h["sec-websocket-protocol"]), r.Protocol)
	}
	return nil
}
