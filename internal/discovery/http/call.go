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
type query struct {
	full bool
	from uint64        // what is newer than this version ...
	wait time.Duration // ... within this wait
}

func (q query) path() string {
	if q.full {
		return "/registry/instances"
	}
	return "/registry/instances?from=" + strconv.FormatUint(q.from, 10) + "&hold_ms=" + strconv.FormatInt(q.wait.Milliseconds(), 10)
}

// call is one question under way on a connection of its own.
type call struct {
	query
	cancel context.CancelFunc
}

// answer is how a call ended.
type result struct {
	call   *call
	list   *List
	faults entryErrors
	err    error
	conn   *conn // for the next call; nil: it has ended
}

// agentConn is a connection to discovery.
type conn struct {
	nc     net.Conn
	reader *http1.Reader
}

func dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	nc = socket.WithRetry(nc)
	return &conn{nc, http1.NewReader(bufio.NewReaderSize(nc, 4<<10), http1.Limits{MaxHeadBytes: 8 << 10})}, nil
}

// ask carries out a call; the context ends it and its connection.
func execute(ctx context.Context, addr string, c *call, conn *conn) (a result) {
	a = result{call: c}
	if conn == nil {
		if conn, a.err = dial(ctx, addr); a.err != nil {
			return a
		}
	}
	stop := context.AfterFunc(ctx, func() { conn.nc.Close() })
	var last bool
	a.list, a.faults, last, a.err = conn.fetch(c.path())
	if !stop() || last || a.err != nil {
		conn.nc.Close()
		return a
	}
	a.conn = conn
	return a
}

// get asks once. last says that the connection ends with the answer.
func (c *conn) fetch(path string) (l *List, bad entryErrors, last bool, err error) {
	if _, err = c.nc.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: service.internal\r\n\r\n")); err != nil {
		return nil, bad, true, err
	}
	r, body, err := c.reader.StreamResponse()
	if err != nil {
		return nil, bad, true, err
	}
	if r.Status != 200 {
		return nil, bad, true, fmt.Errorf("registry: %s: status %d, want 200", path, r.Status)
	}
	l, bad, err = decode(body)
	return l, bad, r.Close, err
}
