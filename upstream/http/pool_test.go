package http

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/upstream"
)

// scripted is a server that answers each connection's requests by a function of its own.
func scripted(t *testing.T, serve func(nc net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer nc.Close(); serve(nc, bufio.NewReader(nc)) }()
		}
	}()
	return ln.Addr().String()
}

// request reads one request of the pool's and returns its X-Txn.
func request(r *bufio.Reader) (txn string, err error) {
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		line = strings.TrimSpace(line)
		fmt.Sscanf(line, "Content-Length: %d", &length)
		if v, ok := strings.CutPrefix(line, "X-Txn: "); ok {
			txn = v
		}
		if line == "" {
			_, err = io.CopyN(io.Discard, r, int64(length))
			return txn, err
		}
	}
}

func newPool(t *testing.T, o Options, servers ...Server) *Pool {
	t.Helper()
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = time.Second
	}
	if o.Conns == 0 {
		o.Conns = 64
	}
	if o.Idle == 0 {
		o.Idle = time.Minute
	}
	if o.Body == 0 {
		o.Body = 64 << 10
	}
	p := New(o)
	p.Take(servers, true)
	t.Cleanup(func() {
		done := make(chan struct{})
		go func() { p.Close(); close(done) }()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Error("the pool does not end")
		}
	})
	return p
}

func attempt(node, txn string) (*upstream.Call, chan upstream.Result) {
	ch := make(chan upstream.Result, 2)
	return &upstream.Call{Node: node, Params: []byte("GET /api HTTP/1.1\r\nHost: s\r\nX-Txn: " + txn + "\r\n\r\n"),
		Done: func(r upstream.Result) { ch <- r }}, ch
}

func wait(t *testing.T, ch chan upstream.Result) upstream.Result {
	t.Helper()
	select {
	case r := <-ch:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no end of the attempt within 10 s")
		return upstream.Result{}
	}
}

// To close a connection under the pool's lock waited for its reader, which waited for the lock: a gateway stood still
// for good on a day on which attempts were given up just as their answers came.
func TestAttemptsGivenUpAsTheirAnswersCome(t *testing.T) {
	addr := scripted(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			txn, err := request(r)
			if err != nil {
				return
			}
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(txn), txn)
		}
	})
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	var ended atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20000 {
			c, _ := attempt("a", fmt.Sprint(i))
			over := make(chan struct{})
			c.Done = func(upstream.Result) { ended.Add(1); close(over) }
			p.Send(c)
			if i%2 == 0 {
				for range i % 97 {
					p.Conns.Load() // about as long as an answer takes
				}
				if p.Abandon(c) != upstream.Ended {
					continue
				}
			}
			<-over
		}
	}()
	select {
	case <-done:
	case <-time.After(60 * time.Second):
		t.Fatal("the pool stands still")
	}
	if ended.Load() < 10000 {
		t.Errorf("%d attempts ended, want those that were not given up: 10000", ended.Load())
	}
}
