package http

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"winghatch/internal/http1"
	"winghatch/internal/socket"
)

// question is what a call asks discovery for.
type question struct {
	whole bool
	from  uint64        // what is newer than this version ...
	hold  time.Duration // ... within this wait
}

func (q question) path() string {
	if q.whole {
		return "/registry/instances"
	}
	return "/registry/instances?from=" + strconv.FormatUint(q.from, 10) + "&hold_ms=" + strconv.FormatInt(q.hold.Milliseconds(), 10)
}

// call is one question under way on a connection of its own.
type call struct {
	question
	cancel context.CancelFunc
}

// answer is how a call ended.
type answer struct {
	call   *call
	list   *List
	faults faults
	err    error
	conn   *agentConn // for the next call; nil: it has ended
}

// agentConn is a connection to discovery.
type agentConn struct {
	nc net.Conn
	rd *http1.Reader
}

func openAgent(ctx context.Context, addr string) (*agentConn, error) {
	nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	nc = socket.Patient(nc)
	return &agentConn{nc, http1.NewReader(bufio.NewReaderSize(nc, 4<<10), http1.Limits{Head: 8 << 10})}, nil
}

// ask carries out a call; the context ends it and its connection.
func ask(ctx context.Context, addr string, c *call, conn *agentConn) (a answer) {
	a = answer{call: c}
	if conn == nil {
		if conn, a.err = openAgent(ctx, addr); a.err != nil {
			return a
		}
	}
	stop := context.AfterFunc(ctx, func() { conn.nc.Close() })
	var last bool
	a.list, a.faults, last, a.err = conn.get(c.path())
	if !stop() || last || a.err != nil {
		conn.nc.Close()
		return a
	}
	a.conn = conn
	return a
}

// get asks once. last says that the connection ends with the answer.
func (c *agentConn) get(path string) (l *List, bad faults, last bool, err error) {
	if _, err = c.nc.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: service.internal\r\n\r\n")); err != nil {
		return nil, bad, true, err
	}
	r, body, err := c.rd.Stream()
	if err != nil {
		return nil, bad, true, err
	}
	if r.Status != 200 {
		return nil, bad, true, fmt.Errorf("registry: %s: status %d, want 200", path, r.Status)
	}
	l, bad, err = decode(body)
	return l, bad, r.Close, err
}
