package websocket

import (
	"bufio"
	"bytes"
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"strings"
)

// acceptGUID is the GUID that is hashed with the key of the client (RFC 6455, section 1.3).
const acceptGUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// Upgrade is the opening handshake of a client as a server receives it.
type Upgrade struct {
	// Path is the request target, with the query.
	Path string
	// Host is the value of the field Host.
	Host string
	// Header contains all header fields.
	Header Header
	key    string // Sec-WebSocket-Key
}

// HandshakeError reports that a handshake was rejected. In a server, Response returns the response to send.
// In a client, Status and Reason come from the response of the server, or describe why its header is
// invalid.
type HandshakeError struct {
	// Status is the HTTP status.
	Status int
	// Reason is the body of the response in a server, and the reason phrase of the response in a client.
	Reason string
	// ExtraHeader contains further header lines for the response, each with CRLF.
	ExtraHeader string
}

func (e *HandshakeError) Error() string {
	return fmt.Sprintf("websocket: handshake rejected with %d: %s", e.Status, e.Reason)
}

func handshakeErrorf(status int, format string, args ...any) *HandshakeError {
	return &HandshakeError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// ReadUpgrade reads the opening handshake of a client (RFC 6455, section 4.2.1). The error is a
// *HandshakeError if the handshake is invalid. All other errors are errors of the connection.
func ReadUpgrade(in *bufio.Reader) (*Upgrade, error) {
	line, err := readLine(in, maxLineBytes)
	if err != nil {
		return nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !strings.HasPrefix(parts[2], "HTTP/") {
		return nil, handshakeErrorf(400, "request line %q is malformed", truncate(line))
	}
	header, err := readHeaderFields(in)
	if err != nil {
		return nil, err
	}
	u := &Upgrade{Path: parts[1], Host: header["host"], Header: header, key: header["sec-websocket-key"]}
	if parts[0] != "GET" {
		e := handshakeErrorf(405, "method %q, want GET", truncate(parts[0]))
		e.ExtraHeader = "Allow: GET\r\n"
		return nil, e
	}
	return u, u.validate(parts[2])
}

// validate returns a *HandshakeError if the version, target or header is invalid (RFC 6455, section 4.2.1).
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
	if !u.Header.hasToken("connection", "upgrade") || !u.Header.hasToken("upgrade", "websocket") {
		e := handshakeErrorf(426, "this address speaks WebSocket")
		e.ExtraHeader = "Upgrade: websocket\r\n"
		return e
	}
	if v := u.Header["sec-websocket-version"]; v != "13" {
		e := handshakeErrorf(426, "Sec-WebSocket-Version %q, want 13", truncate(v))
		e.ExtraHeader = "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
		return e
	}
	if raw, err := base64.StdEncoding.DecodeString(u.key); err != nil || len(raw) != 16 {
		return handshakeErrorf(400, "Sec-WebSocket-Key %q, want 16 bytes in base64", truncate(u.key))
	}
	return nil
}

// Offers reports whether the client offered the subprotocol. Subprotocol names are case-sensitive.
func (u *Upgrade) Offers(protocol string) bool {
	for _, v := range strings.Split(u.Header["sec-websocket-protocol"], ",") {
		if strings.TrimSpace(v) == protocol {
			return true
		}
	}
	return false
}

// Accept returns the HTTP response that accepts the handshake. protocol is the selected subprotocol. If it
// is empty, no subprotocol is selected.
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

// acceptKey returns the value of Sec-WebSocket-Accept for a key (RFC 6455, section 4.2.2).
func acceptKey(key string) string {
	sum := sha1.Sum([]byte(key + acceptGUID))
	return base64.StdEncoding.EncodeToString(sum[:])
}

var statusText = map[int]string{
	400: "Bad Request",
	401: "Unauthorized",
	403: "Forbidden",
	404: "Not Found",
	405: "Method Not Allowed",
	426: "Upgrade Required",
	431: "Request Header Fields Too Large",
	503: "Service Unavailable",
	505: "HTTP Version Not Supported",
}

// Response returns the complete HTTP response that rejects the handshake. The connection must be closed
// after it.
func (e *HandshakeError) Response() []byte {
	body := e.Reason + "\n"
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s",
		e.Status, statusText[e.Status], e.ExtraHeader, len(body), body)
}
