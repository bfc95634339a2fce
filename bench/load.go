package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"winghatch/internal/jsonrpc"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

const (
	maxDials    = 100 // largest number of handshakes at the same time
	dialTimeout = 20 * time.Second

	maxLatency       = int64(time.Minute)     // largest latency in the histogram, in nanoseconds
	histogramDigits  = 3                      // significant digits of a latency
	lateResponseTime = 200 * time.Millisecond // wait for responses after the last call
)

// clientPool is a set of sessions that send calls. Responses are counted in latency, served and failed only
// while recording is set.
type clientPool struct {
	conns []*wsconn.Conn

	mu        sync.Mutex              // guards latency
	latency   *hdrhistogram.Histogram // latencies in nanoseconds
	served    atomic.Int64            // number of responses, including errors
	failed    atomic.Int64            // number of responses with an error
	recording atomic.Bool
}

// dialAll opens n sessions, at most maxDials at the same time. It returns the first error if one of them
// fails.
func dialAll(addr string, n int) (*clientPool, error) {
	c := &clientPool{latency: hdrhistogram.New(1, maxLatency, histogramDigits)}
	c.conns = make([]*wsconn.Conn, n)
	errs := make(chan error, n)
	slots := make(chan struct{}, maxDials)
	for i := range n {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			var err error
			c.conns[i], err = wsconn.Dial(ctx, addr, &websocket.Request{Host: addr, Path: "/",
				Protocol: "jsonrpc", Header: map[string]string{"Authorization": "Bearer " + clientKey}},
				wsconn.Options{MaxQueue: maxQueueBytes})
			errs <- err
		}()
	}
	for range n {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	return c, nil
}

// close closes all sessions at once.
func (c *clientPool) close() {
	for _, conn := range c.conns {
		conn.Abort()
	}
}

// callParams holds the params of every call.
var callParams = []byte(`{"units":1,"work":{"copies":3,"title":"A reader for the second year"}}`)

// send sends a call. Its id contains the number of the call and the time from which the latency is measured.
func (c *clientPool) send(conn *wsconn.Conn, number int, at time.Time) {
	id := jsonrpc.ID(`"` + strconv.Itoa(number) + "." + strconv.FormatInt(at.UnixNano(), 10) + `"`)
	conn.Send(jsonrpc.AppendCall(nil, id, "look", callParams))
}

// readResponses records the responses of session i until it is closed. If next is not nil, it is called for
// each response to send the next call.
func (c *clientPool) readResponses(i int, next func(conn *wsconn.Conn, number int)) {
	conn := c.conns[i]
	for number := 1 << 20; ; number++ { // above the numbers of the first calls of runClosedLoop
		data, err := conn.Read()
		if err != nil {
			return
		}
		now := time.Now().UnixNano()
		messages, _, _ := jsonrpc.Parse(data, 1)
		for _, message := range messages {
			// Errors during the warm-up do not count: the core sheds load until it has seen responses.
			if message.Err != nil && c.recording.Load() {
				c.failed.Add(1)
			}
			_, at, _ := strings.Cut(strings.Trim(string(message.ID), `"`), ".")
			sentAt, _ := strconv.ParseInt(at, 10, 64)
			if c.recording.Load() {
				c.served.Add(1)
				c.mu.Lock()
				c.latency.RecordValue(max(1, now-sentAt))
				c.mu.Unlock()
			}
			if next != nil {
				next(conn, number)
			}
		}
	}
}

// runClosedLoop keeps the given number of calls outstanding over all sessions for warmup and then for
// duration. It returns the responses per second during duration.
func (c *clientPool) runClosedLoop(outstanding int, warmup, duration time.Duration) float64 {
	for i := range c.conns {
		go c.readResponses(i, func(conn *wsconn.Conn, number int) { c.send(conn, number, time.Now()) })
	}
	for number := range outstanding {
		c.send(c.conns[number%len(c.conns)], number, time.Now())
	}
	time.Sleep(warmup)
	c.recording.Store(true)
	began := time.Now()
	time.Sleep(duration)
	c.recording.Store(false)
	return float64(c.served.Load()) / time.Since(began).Seconds()
}

// runOpenLoop sends calls at random times with a mean rate in calls per second, independent of the responses.
// The latency of a call is measured from the time when it was due, so that delays of the sender count too.
func (c *clientPool) runOpenLoop(rate float64, warmup, duration time.Duration) {
	for i := range c.conns {
		go c.readResponses(i, nil)
	}
	random := rand.New(rand.NewPCG(1, 1))
	due := time.Now()
	began := due
	for number := 0; time.Since(began) < warmup+duration; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if delay := time.Until(due); delay > 0 {
			time.Sleep(delay)
		}
		if number&63 == 0 && time.Since(began) > warmup {
			c.recording.Store(true)
		}
		c.send(c.conns[number%len(c.conns)], number, due)
	}
	time.Sleep(lateResponseTime)
	c.recording.Store(false)
}
