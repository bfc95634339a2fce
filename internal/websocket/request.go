package websocket

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Request is the opening handshake of a client. It can be used for several handshakes one after another,
// but not for two at the same time.
type Request struct {
	// Host is the value of the field Host. Path is the request target.
	Host, Path string
	// Protocol is the requested subprotocol. If it is empty, none is requested.
	Protocol string
	// Header contains further header fields.
	Header map[string]string
	key    string // Sec-WebSocket-Key of the last call of Bytes
}

// Bytes returns the HTTP request of the handshake. Each call generates a new key.
func (r *Request) Bytes() []byte {
	var raw [16]byte
	rand.Read(raw[:]) // never fails, see the documentation of crypto/rand
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

// ReadResponse reads and validates the response of the server (RFC 6455, section 4.1) to the last result of
// Bytes. The error is a *HandshakeError if the server rejected the handshake.
func (r *Request) ReadResponse(in *bufio.Reader) error {
	line, err := readLine(in, maxLineBytes)
	if err != nil {
		return err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || version != "HTTP/1.1" {
		return fmt.Errorf("websocket: status line %q is malformed", truncate(line))
	}
	header, err := readHeaderFields(in)
	if err != nil {
		return fmt.Errorf("websocket: reading the handshake response: %w", err)
	}
	if status != 101 {
		return handshakeErrorf(status, "%s", reason)
	}
	return r.validateResponse(header)
}

// validateResponse returns an error if the header of a response with status 101 is invalid.
func (r *Request) validateResponse(header Header) error {
	switch {
	case !header.hasToken("upgrade", "websocket") || !header.hasToken("connection", "upgrade"):
		return errors.New("websocket: response with status 101 does not upgrade to websocket")
	case header["sec-websocket-accept"] != acceptKey(r.key):
		return fmt.Errorf("websocket: Sec-WebSocket-Accept is %q, want %q",
			truncate(header["sec-websocket-accept"]), acceptKey(r.key))
	case header["sec-websocket-extensions"] != "":
		return fmt.Errorf("websocket: server selected extension %q, want none",
			truncate(header["sec-websocket-extensions"]))
	case header["sec-websocket-protocol"] != r.Protocol:
		return fmt.Errorf("websocket: server selected subprotocol %q, want %q",
			truncate(header["sec-websocket-protocol"]), r.Protocol)
	}
	return nil
}
