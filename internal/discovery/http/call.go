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
	readBufferBytes = 4 << 10 // also limits the length of a line in a response head
	maxHeadBytes    = 8 << 10 // limits the length of a response head
)

// query is a request for the full list, or for the changes since a version. In the latter case, discovery
// waits for a change before it responds, but not for longer than wait (long poll).
type query struct {
	full bool
	from uint64        // the version; unused if full is true
	wait time.Duration // maximum duration of the long poll; unused if full is true
}

// path returns the request target of the query.
func (q query) path() string {
	if q.full {
		return "/registry/instances"
	}
	return "/registry/instances?from=" + strconv.FormatUint(q.from, 10) +
		"&hold_ms=" + strconv.FormatInt(q.wait.Milliseconds(), 10)
}

// call is one query in progress, on a connection of its own.
type call struct {
	query
	cancel context.CancelFunc // ends the call and closes its connection
}

// result describes how a call ended. Either list or err is set.
type result struct {
	call   *call
	list   *List
	errors entryErrors // the invalid targets in the list
	err    error       // why the call failed; nil if it succeeded
	conn   *conn       // the open connection, which the next call may use; nil if it was closed
}

// conn is a connection to discovery.
type conn struct {
	nc     net.Conn
	reader *http1.Reader
}

// dial connects to discovery at the address host:port.
func dial(ctx context.Context, addr string) (*conn, error) {
	// No keep-alive probes are needed, because callTimeout limits each call.
	nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	nc = socket.WithRetry(nc)
	limits := http1.Limits{MaxHeadBytes: maxHeadBytes}
	return &conn{nc, http1.NewReader(bufio.NewReaderSize(nc, readBufferBytes), limits)}, nil
}

// execute makes a call on the given connection, or on a new connection if it is nil. When the context ends,
// so does the call, and the connection is closed.
func execute(ctx context.Context, addr string, c *call, connection *conn) result {
	r := result{call: c}
	if connection == nil {
		if connection, r.err = dial(ctx, addr); r.err != nil {
			return r
		}
	}
	stop := context.AfterFunc(ctx, func() { connection.nc.Close() })
	var last bool
	r.list, r.errors, last, r.err = connection.fetch(c.path())
	if !stop() || last || r.err != nil {
		connection.nc.Close()
		return r
	}
	r.conn = connection
	return r
}

// fetch sends one request and reads the response. last reports whether the connection cannot be used for
// another request.
func (c *conn) fetch(path string) (list *List, invalid entryErrors, last bool, err error) {
	if _, err = c.nc.Write([]byte("GET " + path +
		" HTTP/1.1\r\nHost: service.internal\r\n\r\n")); err != nil {
		return nil, invalid, true, err
	}
	response, body, err := c.reader.StreamResponse()
	if err != nil {
		return nil, invalid, true, err
	}
	if response.Status != http.StatusOK {
		return nil, invalid, true, fmt.Errorf("discovery: %s: status %d, want 200", path, response.Status)
	}
	list, invalid, err = decode(body)
	return list, invalid, response.Close, err
}
