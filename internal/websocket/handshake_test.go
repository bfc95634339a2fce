package websocket

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
	"testing"
)

// goodHandshake is a valid handshake of a client without the empty line. Its names and tokens have unusual
// letter cases.
const goodHandshake = "GET /x HTTP/1.1\r\nHost: h\r\n" +
	"Upgrade: WebSocket\r\nConnection: keep-alive, UPGRADE\r\n" +
	"sec-websocket-version: 13\r\nSEC-WEBSOCKET-KEY: dGhlIHNhbXBsZSBub25jZQ==\r\n" +
	"Sec-WebSocket-Protocol: a, jsonrpc\r\n"

// Clients spell header names and tokens in different letter cases. A valid handshake must be accepted
// regardless of case, and the response must contain the right accept value.
func TestHandshakeIgnoresCase(t *testing.T) {
	u, err := ReadUpgrade(bufio.NewReaderSize(strings.NewReader(goodHandshake+"\r\n"), 16))
	if err != nil {
		t.Fatal(err)
	}
	if !u.Offers("jsonrpc") || u.Offers("json") {
		t.Error("the offered subprotocols are not a and jsonrpc")
	}
	// This is the accept value of the example in RFC 6455, section 1.3.
	const want = "Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=\r\n"
	if response := string(u.Accept("jsonrpc")); !strings.Contains(response, want) {
		t.Errorf("response without the expected accept value: %q", response)
	}
}

// Invalid and ambiguous handshakes, and those that exceed a limit, must be rejected. The status and the
// header fields of the response must tell the client the cause.
func TestInvalidHandshakesAreRejected(t *testing.T) {
	replaced := func(from, to string) string { return strings.Replace(goodHandshake, from, to, 1) + "\r\n" }
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
		"long line":          {replaced("/x", "/"+strings.Repeat("x", maxLineBytes)), 431, ""},
		"many fields":        {replaced("Host", strings.Repeat("A: b\r\n", maxHeaderFields)+"Host"), 431, ""},
		"no request line":    {"\r\n\r\n", 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadUpgrade(bufio.NewReaderSize(strings.NewReader(c.in), 16))
			var e *HandshakeError
			if !errors.As(err, &e) || e.Status != c.status || !strings.Contains(e.ExtraHeader, c.extra) {
				t.Fatalf("got error %v, want status %d and header %q", err, c.status, c.extra)
			}
			if !strings.HasPrefix(string(e.Response()), "HTTP/1.1 ") {
				t.Errorf("response does not begin with HTTP/1.1: %q", e.Response())
			}
		})
	}
}

// A client must accept the response of the server to its handshake. It must reject a response that has
// another accept value, subprotocol or status, or that selects an extension.
func TestClientValidatesResponse(t *testing.T) {
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
	f.Add(goodHandshake + "\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		u, err := ReadUpgrade(bufio.NewReader(strings.NewReader(in)))
		if err == nil && (u.Host == "" || u.Path[0] != '/') {
			t.Fatalf("accepted without host or path: %+v", u)
		}
	})
}
