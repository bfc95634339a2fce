package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is one request of a client. Clients here never send a request again.
type call struct {
	txn, key, class, plan, customer string
	units, spread                   int
	remaining                       time.Duration
}

// reply is what the client got: a status and a body, or an error.
type reply struct {
	status int
	body   string
	err    error
	sentAt time.Time
	took   time.Duration
}

// caller sends requests to one gateway on connections that it keeps; one request at a time on each.
type caller struct {
	addr string
	mu   sync.Mutex
	idle []*callerConn
}

type callerConn struct {
	nc net.Conn
	in *bufio.Reader
}

func (c *caller) take() (*callerConn, bool, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		cc := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return cc, true, nil
	}
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &callerConn{nc, bufio.NewReader(nc)}, false, nil
}

// do sends a request and waits for the answer until 0.5 s after the request's time is over.
func (c *caller) do(q call) reply {
	for {
		cc, reused, err := c.take()
		if err != nil {
			return reply{err: err, sentAt: time.Now()}
		}
		a, retry := cc.do(q)
		if retry && reused { // the end of an idle connection crossed the request, which was not read
			cc.nc.Close()
			continue
		}
		if a.err != nil || a.status == 0 {
			cc.nc.Close()
		} else {
			c.mu.Lock()
			c.idle = append(c.idle, cc)
			c.mu.Unlock()
		}
		return a
	}
}

func (cc *callerConn) do(q call) (a reply, crossed bool) {
	method, key, body := "GET", "", ""
	if q.class != "" && q.key != "" {
		method, key, body = "POST", "Idempotency-Key: "+q.key+"\r\n", "order "+q.txn
	}
	head := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Plan: %s\r\n"+
		"X-Customer: %s\r\nX-Remaining-Ms: %d\r\n%sX-Quota: units=%d,spread=%d,first=0\r\n",
		method, q.txn, q.class, q.plan, q.customer, q.remaining.Milliseconds(), key, q.units, q.spread)
	if method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	a.sentAt = time.Now()
	cc.nc.SetDeadline(a.sentAt.Add(q.remaining + 500*time.Millisecond))
	if _, err := io.WriteString(cc.nc, head+"\r\n"+body); err != nil {
		a.err = err
		return a, true
	}
	resp, err := http.ReadResponse(cc.in, nil)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a, err == io.EOF || err == io.ErrUnexpectedEOF
	}
	raw, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err, a.took = resp.StatusCode, string(raw), err, time.Since(a.sentAt)
	if resp.Close {
		cc.nc.Close()
	}
	return a, false
}
