package http

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"winghatch/internal/http1"
	"winghatch/internal/socket"
)

const (
	readBufferBytes = 4 << 10
	maxHeadBytes    = 8 << 10
)

// query is what a call asks discovery for: the full list, or what is newer than a version. For the latter discovery
// waits until there is something, but no longer than wait.
type query struct {
	full bool
	from uint64
	wait time.Duration
}

func (q query) path() string {
	if q.full {
		return "/registry/instances"
	}
	return "/registry/instances?from=" + strconv.FormatUint(q.from, 10) +
		"&hold_ms=" + strconv.FormatInt(q.wait.Milliseconds(), 10)
}

// call is one query under way, on a connection of its own.
type call struct {
	query
	cancel context.CancelFunc // ends it and its connection
}

// result is how a call ended.
type result struct {
	call   *call
	list   *List
	errors entryErrors // beside the list
	err    error
	conn   *conn // for the next call; nil: it is closed
}

// conn is a connection to discovery.
type conn struct {
	nc     net.Conn
	reader *http1.Reader
}

func dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr) // no probes: callTimeout bounds each call
	if err != nil {
		return nil, err
	}
	nc = socket.WithRetry(nc)
	limits := http1.Limits{MaxHeadBytes: maxHeadBytes}
	return &conn{nc, http1.NewReader(bufio.NewReaderSize(nc, readBufferBytes), limits)}, nil
}

// execute carries out a call on a connection, or on a new one if it is nil. The context ends the call and its
// connection.
func execute(ctx context.Context, addr string, c *call, cn *conn) result {
	r := result{call: c}
	if cn == nil {
		if cn, r.err = dial(ctx, addr); r.err != nil {
			return r
		}
	}
	stop := context.AfterFunc(ctx, func() { cn.nc.Close() })
	var last bool
	r.list, r.errors, last, r.err = cn.fetch(c.path())
	if !stop() || last || r.err != nil {
		cn.nc.Close()
		return r
	}
	r.conn = cn
	return r
}

// fetch makes one request; last says that the connection ends with the response.
func (c *conn) fetch(path string) (list *List, bad entryErrors, last bool, err error) {
	if _, err = c.nc.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: service.internal\r\n\r\n")); err != nil {
		return nil, bad, true, err
	}
	response, body, err := c.reader.StreamResponse()
	if err != nil {
		return nil, bad, true, err
	}
	if response.Status != http.StatusOK {
		return nil, bad, true, fmt.Errorf("discovery: %s: status %d, want 200", path, response.Status)
	}
	list, bad, err = decode(body)
	return list, bad, response.Close, err
}
