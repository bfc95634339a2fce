package http

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"winghatch/internal/testbed/tcpserver"
	"winghatch/internal/upstream"
)

// startServer starts a server that runs until the test ends and returns its address. The server calls serve
// for each connection in a goroutine of its own.
func startServer(t *testing.T, serve func(nc net.Conn, r *bufio.Reader)) string {
	t.Helper()
	return tcpserver.Start(t, func(nc net.Conn) { serve(nc, bufio.NewReader(nc)) })
}

// readRequest reads one request including its body and returns the value of its X-Txn field.
func readRequest(r *bufio.Reader) (txn string, err error) {
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

// startResponder starts a server that reads each request completely and then calls respond.
func startResponder(t *testing.T, respond func(nc net.Conn, txn string)) string {
	t.Helper()
	return startServer(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			txn, err := readRequest(r)
			if err != nil {
				return
			}
			respond(nc, txn)
		}
	})
}

// okHead is the beginning of a response with a body of two bytes. Further fields and the empty line may
// follow it.
const okHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

// slowListener returns the address of a listener whose accept queue is full, so that connections are
// established only after open is called.
func slowListener(t *testing.T) (addr string, open func(serve func(nc net.Conn))) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// The accept queue now has room for one connection.
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	addr = ln.Addr().String()
	var fill []net.Conn
	for {
		nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			break
		}
		fill = append(fill, nc)
	}
	return addr, func(serve func(nc net.Conn)) {
		for _, nc := range fill {
			nc.Close()
		}
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go serve(nc)
			}
		}()
	}
}

// fullListener returns the address of a listener whose accept queue is full, so that no connection is
// established.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprint("127.0.0.1:", sa.(*syscall.SockaddrInet4).Port)
	for {
		nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { nc.Close() })
	}
}

// newPool returns a pool with the given servers and closes it when the test ends. Options that are zero are
// replaced by values that the tests do not reach.
func newPool(t *testing.T, o Options, servers ...Server) *Pool {
	t.Helper()
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	if o.MaxConns == 0 {
		o.MaxConns = 64
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = time.Minute
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = 64 << 10
	}
	p := New(o)
	p.Update(servers, true)
	t.Cleanup(func() {
		done := make(chan struct{})
		go func() {
			p.Close()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Error("Pool.Close did not return within 10 s")
		}
	})
	return p
}

// newAttempt returns an attempt and the channel that receives its result. The channel has room for a second
// result, so that a test can detect one.
func newAttempt(server, txn string) (*upstream.Call, chan upstream.Result) {
	results := make(chan upstream.Result, 2)
	return &upstream.Call{
		Server: server,
		Params: []byte("GET /api HTTP/1.1\r\nHost: s\r\nX-Txn: " + txn + "\r\n\r\n"),
		Done:   func(r upstream.Result) { results <- r },
	}, results
}

func waitResult(t *testing.T, ch chan upstream.Result) upstream.Result {
	t.Helper()
	select {
	case r := <-ch:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("the attempt did not end within 10 s")
		return upstream.Result{}
	}
}
