package websocket

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"unicode/utf8"

	"pgregory.net/rapid"
)

var key = [4]byte{1, 2, 3, 250}

func reader(data []byte, role Role) *Reader {
	return NewReader(bufio.NewReaderSize(bytes.NewReader(data), 16), role, 1<<20)
}

// TestBreaches reads frames that RFC 6455 forbids.
func TestBreaches(t *testing.T) {
	masked := func(fin bool, op Opcode, p string) []byte { return AppendFrame(nil, fin, op, []byte(p), &key) }
	for name, c := range map[string]struct {
		data []byte
		code int
	}{
		"unmasked from a client":    {AppendFrame(nil, true, Text, []byte("x"), nil), CodeProtocol},
		"reserved bit":              {[]byte{0xC1, 0x80, 0, 0, 0, 0}, CodeProtocol},
		"unknown opcode":            {[]byte{0x83, 0x80, 0, 0, 0, 0}, CodeProtocol},
		"unknown control opcode":    {[]byte{0x8B, 0x80, 0, 0, 0, 0}, CodeProtocol},
		"fragmented ping":           {masked(false, Ping, "x"), CodeProtocol},
		"long ping":                 {masked(true, Ping, strings.Repeat("x", 126)), CodeProtocol},
		"16-bit length of 125":      {[]byte{0x81, 0xFE, 0, 125}, CodeProtocol},
		"64-bit length of 65535":    {[]byte{0x81, 0xFF, 0, 0, 0, 0, 0, 0, 0xff, 0xff}, CodeProtocol},
		"64-bit length, top bit":    {[]byte{0x81, 0xFF, 0x80, 0, 0, 0, 0, 1, 0, 0}, CodeProtocol},
		"continuation of nothing":   {masked(true, Continuation, "x"), CodeProtocol},
		"text inside text":          {append(masked(false, Text, "x"), masked(true, Text, "y")...), CodeProtocol},
		"too big":                   {append([]byte{0x82, 0xFF, 0, 0, 0, 0, 0, 0x20, 0, 0}, key[:]...), CodeTooBig},
		"wrong byte":                {masked(true, Text, "a\xff"), CodeInvalidData},
		"wrong over a border":       {append(masked(false, Text, "\xe2\x82"), masked(true, Continuation, "x")...), CodeInvalidData},
		"ends inside a character":   {masked(true, Text, "\xe2\x82"), CodeInvalidData},
		"surrogate":                 {masked(true, Text, "\xed\xa0\x80"), CodeInvalidData},
		"close with half a code":    {masked(true, Close, "x"), CodeProtocol},
		"close with 1005":           {masked(true, Close, "\x03\xed"), CodeProtocol},
		"close with 999":            {masked(true, Close, "\x03\xe7"), CodeProtocol},
		"close reason not in UTF-8": {masked(true, Close, "\x03\xe8\xff"), CodeInvalidData},
	} {
		t.Run(name, func(t *testing.T) {
			r := reader(c.data, Server)
			_, err := r.Next()
			for err == nil {
				_, err = r.Next()
			}
			if CloseCode(err) != c.code {
				t.Errorf("got %v, want close code %d", err, c.code)
			}
			if _, err := r.Next(); err != io.EOF {
				t.Errorf("after a breach Next gives %v, want io.EOF", err)
			}
		})
	}
}

// TestCuts ends a stream at every byte: a whole message or an unexpected end, never a part of a message.
func TestCuts(t *testing.T) {
	data := AppendFrame(nil, false, Text, []byte("héllo "), &key)
	data = AppendFrame(data, true, Ping, []byte("p"), &key)
	data = AppendFrame(data, true, Continuation, []byte("wörld"), &key)
	for n := range data {
		r := reader(data[:n], Server)
		for {
			m, err := r.Next()
			if err != nil {
				if n > 0 && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("cut at %d: %v, want an unexpected end", n, err)
				}
				break
			}
			if m.Opcode == Text {
				t.Fatalf("cut at %d: message %q", n, m.Data)
			}
		}
	}
}

// TestAnySplit reads the same messages however a stream is cut into frames and reads.
func TestAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		msgs := rapid.SliceOfN(rapid.String(), 1, 5).Draw(t, "messages")
		role := rapid.SampledFrom([]Role{Server, Client}).Draw(t, "role")
		var mask *[4]byte
		if role == Server {
			mask = &key
		}
		var data []byte
		pings := 0
		for _, m := range msgs {
			rest, op := []byte(m), Text
			for {
				n := rapid.IntRange(0, len(rest)).Draw(t, "fragment")
				last := n == len(rest)
				data = AppendFrame(data, last, op, rest[:n], mask)
				rest, op = rest[n:], Continuation
				if last {
					break
				}
				if rapid.Bool().Draw(t, "ping") {
					data = AppendFrame(data, true, Ping, []byte("?"), mask)
					pings++
				}
			}
		}
		r := NewReader(bufio.NewReaderSize(&chunks{data, rapid.IntRange(1, 40).Draw(t, "read")}, 16), role, 1<<20)
		var got []string
		for {
			m, err := r.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			if m.Opcode == Ping {
				pings--
			} else {
				got = append(got, string(m.Data))
			}
		}
		if pings != 0 || strings.Join(got, "\x00") != strings.Join(msgs, "\x00") {
			t.Fatalf("got %q, want %q; %d pings are missing", got, msgs, pings)
		}
	})
}

type chunks struct {
	data []byte
	n    int
}

func (c *chunks) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.n)], c.data)
	c.data = c.data[n:]
	return n, nil
}

const hello = "GET /x HTTP/1.1\r\nHost: h\r\nUpgrade: WebSocket\r\nConnection: keep-alive, UPGRADE\r\n" +
	"sec-websocket-version: 13\r\nSEC-WEBSOCKET-KEY: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: a, jsonrpc\r\n"

func TestHandshake(t *testing.T) {
	u, err := ReadUpgrade(bufio.NewReaderSize(strings.NewReader(hello+"\r\n"), 16))
	if err != nil {
		t.Fatal(err)
	}
	if !u.Offers("jsonrpc") || u.Offers("json") {
		t.Error("subprotocols are misread")
	}
	// The accept value of RFC 6455 section 1.3.
	if a := string(u.Accept("jsonrpc")); !strings.Contains(a, "Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=\r\n") {
		t.Errorf("answer %q", a)
	}
}

func TestHandshakeRefusals(t *testing.T) {
	sub := func(from, to string) string { return strings.Replace(hello, from, to, 1) + "\r\n" }
	for name, c := range map[string]struct {
		in     string
		status int
		extra  string
	}{
		"POST":               {sub("GET", "POST"), 405, "Allow: GET"},
		"HTTP/1.0":           {sub("HTTP/1.1", "HTTP/1.0"), 505, ""},
		"no Host":            {sub("Host: h\r\n", ""), 400, ""},
		"two Hosts":          {sub("Host: h\r\n", "Host: h\r\nHost: g\r\n"), 400, ""},
		"no Upgrade":         {sub("Upgrade: WebSocket\r\n", ""), 426, "Upgrade: websocket"},
		"version 8":          {sub(": 13", ": 8"), 426, "Sec-WebSocket-Version: 13"},
		"no version":         {sub("sec-websocket-version: 13\r\n", ""), 426, "Sec-WebSocket-Version: 13"},
		"short key":          {sub("dGhlIHNhbXBsZSBub25jZQ==", "dGhl"), 400, ""},
		"no key":             {sub("SEC-WEBSOCKET-KEY", "x-key"), 400, ""},
		"two keys":           {sub("Host", "Sec-WebSocket-Key: x\r\nHost"), 400, ""},
		"folded":             {sub("Host: h\r\n", "Host: h\r\n more\r\n"), 400, ""},
		"space before colon": {sub("Host:", "Host :"), 400, ""},
		"long line":          {sub("/x", "/"+strings.Repeat("x", maxLine)), 431, ""},
		"many fields":        {sub("Host", strings.Repeat("A: b\r\n", maxHeaderFields)+"Host"), 431, ""},
		"no request line":    {"\r\n\r\n", 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadUpgrade(bufio.NewReaderSize(strings.NewReader(c.in), 16))
			var r *HandshakeError
			if !errors.As(err, &r) || r.Status != c.status || !strings.Contains(r.ExtraHeader, c.extra) {
				t.Fatalf("got %v, want status %d and %q", err, c.status, c.extra)
			}
			if !strings.HasPrefix(string(r.Response()), "HTTP/1.1 ") {
				t.Errorf("response %q", r.Response())
			}
		})
	}
}

func TestBothSides(t *testing.T) {
	req := &Request{Host: "h", Path: "/", Protocol: "jsonrpc"}
	u, err := ReadUpgrade(bufio.NewReader(bytes.NewReader(req.Bytes())))
	if err != nil {
		t.Fatal(err)
	}
	good := string(u.Accept("jsonrpc"))
	if err := req.ReadResponse(bufio.NewReader(strings.NewReader(good))); err != nil {
		t.Error(err)
	}
	for _, bad := range []string{strings.Replace(good, "Accept: ", "Accept: x", 1), strings.Replace(good, "jsonrpc", "other", 1),
		strings.Replace(good, "101", "200", 1), strings.Replace(good, "\r\n\r\n", "\r\nSec-WebSocket-Extensions: z\r\n\r\n", 1)} {
		if req.ReadResponse(bufio.NewReader(strings.NewReader(bad))) == nil {
			t.Errorf("answer %q was taken", bad)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add(AppendFrame(nil, true, Text, []byte("x"), &key), true)
	f.Add([]byte{0x82, 0xFF, 0, 0, 0, 0, 0, 0x20, 0, 0}, false)
	f.Fuzz(func(t *testing.T, data []byte, server bool) {
		role := Client
		if server {
			role = Server
		}
		r := NewReader(bufio.NewReader(bytes.NewReader(data)), role, 1000)
		for {
			m, err := r.Next()
			if err != nil {
				return
			}
			if len(m.Data) > 1000 || m.Opcode == Text && !utf8.Valid(m.Data) {
				t.Fatalf("message %q", m.Data)
			}
		}
	})
}

func FuzzHandshake(f *testing.F) {
	f.Add(hello + "\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		u, err := ReadUpgrade(bufio.NewReader(strings.NewReader(in)))
		if err == nil && (u.Host == "" || u.Path[0] != '/') {
			t.Fatalf("taken: %+v", u)
		}
	})
}
