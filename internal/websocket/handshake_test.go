package websocket

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
	"testing"
)

// hello is a client's handshake without its empty line.
const hello = "GET /x HTTP/1.1\r\nHost: h\r\nUpgrade: WebSocket\r\nConnection: keep-alive, UPGRADE\r\n" +
	"sec-websocket-version: 13\r\nSEC-WEBSOCKET-KEY: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: a, jsonrpc\r\n"

// TestHandshake reads a valid handshake, of which names and tokens are in unusual case.
func TestHandshake(t *testing.T) {
	u, err := ReadUpgrade(bufio.NewReaderSize(strings.NewReader(hello+"\r\n"), 16))
	if err != nil {
		t.Fatal(err)
	}
	if !u.Offers("jsonrpc") || u.Offers("json") {
		t.Error("subprotocols are misread")
	}
	// This is the accept value of the example in RFC 6455, section 1.3.
	const want = "Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=\r\n"
	if response := string(u.Accept("jsonrpc")); !strings.Contains(response, want) {
		t.Errorf("response %q", response)
	}
}

// TestHandshakeRefusals reads handshakes that must be rejected, with the status and the header field that say why.
func TestHandshakeRefusals(t *testing.T) {
	replaced := func(from, to string) string { return strings.Replace(hello, from, to, 1) + "\r\n" }
	for name, c := range map[string]struct {
		in     string
		status int
		extra  string
	}{
		"POST":       {replaced("GET", "POST"), 405, "Allow: GET"},
		"HTTP/1.0":   {replaced("HTTP/1.1", "HTTP/1.0"), 505, ""},
		"no Host":    {replaced("Host: h\r\n", ""), 400, ""},
		"two Hosts":  {replaced("Host: h\r\n", "Host: h\r\nHost: g\r\n"), 400, ""},
		"no Upgrade": {replaced("Upgrade: WebSocket\r\n", ""), 426, "Upgrade: websocket"},
		"version 8":  {replaced(": 13", ": 8"), 426, "Sec-WebSocket-Version: 13"},
		"no version": {replaced("sec-websocket-version: 13\r\n", ""), 426,
			"Sec-WebSocket-Version: 13"},
		"short key":          {replaced("dGhlIHNhbXBsZSBub25jZQ==", "dGhl"), 400, ""},
		"no key":             {replaced("SEC-WEBSOCKET-KEY", "x-key"), 400, ""},
		"two keys":           {replaced("Host", "Sec-WebSocket-Key: x\r\nHost"), 400, ""},
		"folded":             {replaced("Host: h\r\n", "Host: h\r\n more\r\n"), 400, ""},
		"space before colon": {replaced("Host:", "Host :"), 400, ""},
		"long line":          {replaced("/x", "/"+strings.Repeat("x", maxLine)), 431, ""},
		"many fields":        {replaced("Host", strings.Repeat("A: b\r\n", maxHeaderFields)+"Host"), 431, ""},
		"no request line":    {"\r\n\r\n", 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadUpgrade(bufio.NewReaderSize(strings.NewReader(c.in), 16))
			var e *HandshakeError
			if !errors.As(err, &e) || e.Status != c.status || !strings.Contains(e.ExtraHeader, c.extra) {
				t.Fatalf("got %v, want status %d and %q", err, c.status, c.extra)
			}
			if !strings.HasPrefix(string(e.Response()), "HTTP/1.1 ") {
				t.Errorf("response %q", e.Response())
			}
		})
	}
}

// TestBothSides lets a client read the response to its own handshake, and then altered ones, which it must reject.
func TestBothSides(t *testing.T) {
	request := &Request{Host: "h", Path: "/", Protocol: "jsonrpc"}
	u, err := ReadUpgrade(bufio.NewReader(bytes.NewReader(request.Bytes())))
	if err != nil {
		t.Fatal(err)
	}
	good := string(u.Accept("jsonrpc"))
	if err := request.ReadResponse(bufio.NewReader(strings.NewReader(good))); err != nil {
		t.Error(err)
	}
	replaced := func(from, to string) string { return strings.Replace(good, from, to, 1) }
	for _, bad := range []string{
		replaced("Accept: ", "Accept: x"),
		replaced("jsonrpc", "other"),
		replaced("101", "200"),
		replaced("\r\n\r\n", "\r\nSec-WebSocket-Extensions: z\r\n\r\n"),
	} {
		if request.ReadResponse(bufio.NewReader(strings.NewReader(bad))) == nil {
			t.Errorf("response %q was accepted", bad)
		}
	}
}

// Every accepted handshake must have a host and a path.
func FuzzHandshake(f *testing.F) {
	f.Add(hello + "\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		u, err := ReadUpgrade(bufio.NewReader(strings.NewReader(in)))
		if err == nil && (u.Host == "" || u.Path[0] != '/') {
			t.Fatalf("accepted: %+v", u)
		}
	})
}
