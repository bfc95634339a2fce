package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

var limits = Limits{MaxHeadBytes: 8 << 10, MaxBodyBytes: 64 << 10}

func reader(r io.Reader) *Reader { return NewReader(bufio.NewReaderSize(r, 4<<10), limits) }

// take reads a whole request.
func take(r *Reader) (*Request, []byte, error) {
	q, err := r.ReadRequest()
	if err != nil {
		return nil, nil, err
	}
	body, err := r.ReadBody(q.BodyLength)
	return q, body, err
}

const good = "POST /api?a=b HTTP/1.1\r\nHost: s\r\nX-Txn: 1\r\n"

func TestRequestsThatCantBeUsed(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"both lengths", good + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"both, other order", good + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400},
		{"two lengths", good + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
		{"a list of lengths", good + "Content-Length: 3, 3\r\n\r\nabc", 400},
		{"negative", good + "Content-Length: -3\r\n\r\nabc", 400},
		{"signed", good + "Content-Length: +3\r\n\r\nabc", 400},
		{"hex", good + "Content-Length: 0x3\r\n\r\nabc", 400},
		{"no digits", good + "Content-Length: \r\n\r\n", 400},
		{"huge", good + "Content-Length: 62914560\r\n\r\n", 413},
		{"beyond any integer", good + "Content-Length: 99999999999999999999999999\r\n\r\n", 413},
		{"gzip", good + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		{"two codings", good + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501},
		{"chunk longer than told", good + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", 400},
		{"chunk of negative size", good + "Transfer-Encoding: chunked\r\n\r\n-2\r\nab\r\n0\r\n\r\n", 400},
		{"chunk too long", good + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\nab\r\n0\r\n\r\n", 413},
		{"bare line feed", "GET / HTTP/1.1\nHost: s\n\n", 400},
		{"bare carriage return", "GET / HTTP/1.1\r\nHost: s\rX: y\r\n\r\n", 400},
		{"folded line", "GET / HTTP/1.1\r\nHost: s\r\n folded\r\n\r\n", 400},
		{"space before the colon", "GET / HTTP/1.1\r\nHost : s\r\n\r\n", 400},
		{"no name", "GET / HTTP/1.1\r\nHost: s\r\n: x\r\n\r\n", 400},
		{"no colon", "GET / HTTP/1.1\r\nHost: s\r\nabc\r\n\r\n", 400},
		{"a zero byte", "GET / HTTP/1.1\r\nHost: s\r\nX: a\x00b\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		{"version", "GET / HTTP/2.0\r\nHost: s\r\n\r\n", 505},
		{"no version", "GET /\r\nHost: s\r\n\r\n", 505},
		{"one word", "GET\r\nHost: s\r\n\r\n", 400},
		{"noise", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400},
		{"whole address", "GET http://s/ HTTP/1.1\r\nHost: s\r\n\r\n", 400},
		{"space in the path", "GET /a b HTTP/1.1\r\nHost: s\r\n\r\n", 505},
		{"long path", "GET /" + strings.Repeat("a", 3000) + " HTTP/1.1\r\nHost: s\r\n\r\n", 414},
		{"long line", "GET / HTTP/1.1\r\nHost: s\r\nX: " + strings.Repeat("a", 5000) + "\r\n\r\n", 431},
		{"long head", "GET / HTTP/1.1\r\nHost: s\r\n" + strings.Repeat("X: "+strings.Repeat("a", 400)+"\r\n", 30) + "\r\n", 431},
		{"many fields", "GET / HTTP/1.1\r\nHost: s\r\n" + strings.Repeat("X: a\r\n", 100) + "\r\n", 431},
		{"expectation", good + "Expect: 200-maybe\r\nContent-Length: 3\r\n\r\nabc", 417},
	} {
		_, _, err := take(reader(strings.NewReader(c.text)))
		var e *Error
		if !errors.As(err, &e) || e.Status != c.status {
			t.Errorf("%s: error %v, want status %d", c.name, err, c.status)
		}
	}
}

func TestWhatEndsTooEarlyIsNoRequest(t *testing.T) {
	whole := good + "Content-Length: 3\r\n\r\nabc"
	for n := range len(whole) {
		_, _, err := take(reader(strings.NewReader(whole[:n])))
		if want := io.ErrUnexpectedEOF; n > 0 && !errors.Is(err, want) || n == 0 && err != io.EOF {
			t.Errorf("after %d bytes: %v, want %v", n, err, want)
		}
	}
}

// However the bytes are cut up on their way, the messages are the same, and what is behind one stays for the next.
func TestMessagesAreTheSameHoweverTheyComeInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text bytes.Buffer
		var bodies []string
		for range rapid.IntRange(1, 4).Draw(t, "messages") {
			body := rapid.StringMatching(`[a-z\r\n]{0,40}`).Draw(t, "body")
			bodies = append(bodies, body)
			text.WriteString(good)
			if rapid.Bool().Draw(t, "chunked") {
				text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
				for i := 0; i < len(body); i += 16 {
					part := body[i:min(i+16, len(body))]
					text.WriteString(strings.ToUpper(string("0123456789abcdef"[len(part)%16])))
					if len(part) == 16 {
						text.Truncate(text.Len() - 1)
						text.WriteString("10")
					}
					text.WriteString(";x=y\r\n" + part + "\r\n")
				}
				text.WriteString("0\r\nTrailer: x\r\n\r\n")
			} else {
				text.WriteString("Content-Length: " + itoa(len(body)) + "\r\n\r\n" + body)
			}
		}
		var in io.Reader = &text
		if rapid.Bool().Draw(t, "byte by byte") {
			in = iotest.OneByteReader(in)
		}
		r := reader(in)
		for i, want := range bodies {
			q, body, err := take(r)
			if err != nil || string(body) != want || q.B != "/api?a=b" {
				t.Fatalf("message %d: %q, %v, want %q", i, body, err, want)
			}
		}
		if _, err := r.ReadRequest(); err != io.EOF {
			t.Fatalf("behind the last: %v, want %v", err, io.EOF)
		}
	})
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}

func TestAnswers(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for _, c := range []struct {
		name, text, body string
		good             bool
	}{
		{"plain", ok, "hi", true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi", true},
		{"1xx ahead", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok, "hi", true},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nhi", "hi", true},
		{"up to the end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", "hi", true},
		{"1xx without end", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100) + ok, "", false},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 1000), "", false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhi", "", false},
		{"both lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "", false},
		{"noise", "\x00\xff\x13garbage\r\n\r\n", "", false},
		{"bad status", "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi", "", false},
		{"other protocol", "ICY 200 OK\r\nContent-Length: 2\r\n\r\nhi", "", false},
		{"switch", "HTTP/1.1 101 Switching\r\n\r\n" + ok, "", false},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", "", false},
		{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 5000), "", false},
	} {
		p, err := reader(strings.NewReader(c.text)).ReadResponse()
		if (err == nil) != c.good || c.good && (p.Status != 200 || string(p.Body) != c.body) {
			t.Errorf("%s: %+v, %v", c.name, p, err)
		}
	}
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte(good + "Content-Length: 3\r\n\r\nabc"))
	f.Add([]byte(good + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := reader(bytes.NewReader(b))
		for {
			q, body, err := take(r)
			if err != nil {
				return
			}
			_, te := q.Get("Transfer-Encoding")
			if _, cl := q.Get("Content-Length"); cl > 0 && te > 0 || cl > 1 || len(body) > limits.MaxBodyBytes {
				t.Fatalf("%q was taken", b)
			}
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if p, err := reader(bytes.NewReader(b)).ReadResponse(); err == nil && (p.Status < 200 || len(p.Body) > limits.MaxBodyBytes) {
			t.Fatalf("%q was taken as %+v", b, p)
		}
	})
}
