package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// dedup is what a group of servers remembers of idempotency keys: for the window since the first request with
// the key arrived, each server of the group drops a repeat.
type dedup struct {
	window time.Duration
	mu     sync.Mutex
	seen   map[string]time.Time
}

// isRepeat reports whether the key is still remembered, and remembers it from now on if not.
func (d *dedup) isRepeat(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if at, ok := d.seen[key]; ok && now.Sub(at) < d.window {
		return true
	}
	d.seen[key] = now
	return false
}

// execution is one execution of a request at a server.
type execution struct {
	server, txn, key string
	at               time.Time // arrival of the request's last byte
}

// backend is an HTTP server as the protocol page describes it.
type backend struct {
	r       *run
	name    string
	addr    string
	ln      *net.TCPListener
	dedup   *dedup
	work    time.Duration
	onRun   func(execution)
	onReply func(txn string) fault // decides what happens after the execution

	mu       sync.Mutex
	conns    map[*net.TCPConn]bool // true while a request is being worked on
	late     bool
	resume   chan struct{}
	dummies  []net.Conn
	lateTo   time.Time // connections accepted until then count as late
	accepted int       // connections that came up, without the own ones that fill the queue
	cameLate int
	draining bool
}

// fault says what happens to the answer of an executed request.
type fault int

const (
	answer  fault = iota
	reset         // the connection is reset instead
	silence       // no answer is sent
)

// listenBacklog listens on a free loopback port with a backlog of one connection, so that the server can let
// connections come up late: while it does not accept, the kernel drops further connection requests, which the
// other side repeats after a second.
func listenBacklog() (*net.TCPListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 1); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

func startBackend(r *run, name string, dd *dedup, work time.Duration, smallBacklog bool) (*backend, error) {
	b := &backend{r: r, name: name, dedup: dd, work: work, conns: map[*net.TCPConn]bool{},
		onRun: func(execution) {}, onReply: func(string) fault { return answer }}
	var err error
	if smallBacklog {
		b.ln, err = listenBacklog()
	} else {
		var ln net.Listener
		if ln, err = net.Listen("tcp", "127.0.0.1:0"); err == nil {
			b.ln = ln.(*net.TCPListener)
		}
	}
	if err != nil {
		return nil, err
	}
	b.addr = b.ln.Addr().String()
	go b.accept()
	r.atEnd(func() { b.ln.Close() })
	return b, nil
}

func (b *backend) accept() {
	for {
		nc, err := b.ln.AcceptTCP()
		if err != nil {
			b.mu.Lock()
			late, resume := b.late, b.resume
			b.mu.Unlock()
			if !late {
				if ne, ok := err.(net.Error); ok && ne.Timeout() {
					b.ln.SetDeadline(time.Time{})
					continue
				}
				return
			}
			<-resume
			b.ln.SetDeadline(time.Time{})
			continue
		}
		b.mu.Lock()
		b.conns[nc] = false
		own := false
		for _, d := range b.dummies {
			own = own || d.LocalAddr().String() == nc.RemoteAddr().String()
		}
		if !own {
			b.accepted++
			if time.Now().Before(b.lateTo) {
				b.cameLate++
			}
		}
		b.mu.Unlock()
		go b.serve(nc)
	}
}

// startLate closes the connections without a request and lets new ones come up about a second late, until the
// returned function is called.
func (b *backend) startLate() (stop func(), err error) {
	b.mu.Lock()
	b.late, b.resume, b.draining = true, make(chan struct{}), true
	b.mu.Unlock()
	b.ln.SetDeadline(time.Now())
	time.Sleep(5 * time.Millisecond)
	for i := 0; ; i++ { // fill the queue of connections that wait to be accepted
		nc, err := net.DialTimeout("tcp", b.addr, 60*time.Millisecond)
		if err != nil {
			break
		}
		b.mu.Lock()
		b.dummies = append(b.dummies, nc)
		b.mu.Unlock()
		if i > 16 {
			return nil, fmt.Errorf("%s: connections still come up at once", b.name)
		}
	}
	b.mu.Lock()
	for nc, busy := range b.conns {
		if !busy {
			nc.CloseWrite()
		}
	}
	b.mu.Unlock()
	return func() {
		b.mu.Lock()
		b.late, b.draining = false, false
		b.lateTo = time.Now().Add(1100 * time.Millisecond)
		for _, nc := range b.dummies {
			nc.Close()
		}
		b.mu.Unlock()
		close(b.resume)
	}, nil
}

func (b *backend) serve(nc *net.TCPConn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, nc)
		b.mu.Unlock()
		nc.Close()
	}()
	in := bufio.NewReader(nc)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		arrived := time.Now()
		b.mu.Lock()
		b.conns[nc] = true
		b.mu.Unlock()
		txn, key := q.Header.Get("X-Txn"), q.Header.Get("Idempotency-Key")
		next := answer
		if key != "" && b.dedup != nil && b.dedup.isRepeat(key) {
			b.r.logf("%s drops repeat of %s key %s", b.name, txn, key)
		} else {
			time.Sleep(b.work)
			b.r.logf("%s ran %s key %s left %s ms, arrived at %.4f", b.name, txn, key,
				q.Header.Get("X-Remaining-Ms"), arrived.Sub(b.r.start).Seconds())
			b.onRun(execution{b.name, txn, key, arrived})
			next = b.onReply(txn)
		}
		switch next {
		case reset:
			b.r.logf("%s resets the connection of %s", b.name, txn)
			nc.SetLinger(0)
			return
		case silence:
			b.r.logf("%s leaves %s without an answer", b.name, txn)
			io.Copy(io.Discard, in)
			return
		}
		b.mu.Lock()
		last := b.draining
		b.conns[nc] = false
		b.mu.Unlock()
		body := "done " + txn
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))
		if last {
			head += "Connection: close\r\n"
		}
		if _, err := io.WriteString(nc, head+"\r\n"+body); err != nil || last {
			return
		}
	}
}
