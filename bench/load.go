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
	maxDials    = 100 // handshakes at once
	dialTimeout = 20 * time.Second

	maxLatency       = int64(time.Minute) // that the histogram can hold, in nanoseconds
	histogramDigits  = 3                  // significant ones of a latency
	lateResponseTime = 200 * time.Millisecond
)

// clientPool is a set of sessions that keep calls open. Latency, served and failed count while recording is set.
type clientPool struct {
	conns []*wsconn.Conn

	mu        sync.Mutex              // guards latency
	latency   *hdrhistogram.Histogram // nanoseconds
	served    atomic.Int64            // responses, those with an error included
	failed    atomic.Int64            // responses with an error
	recording atomic.Bool
}

// dialAll opens n sessions, at most maxDials at once.
func dialAll(addr string, n int) (*clientPool, error) {
	c := &clientPool{latency: hdrhistogram.New(1, maxLatency, histogramDigits)}
	c.conns = make([]*wsconn.Conn, n)
	errs := make(chan error, n)
	gate := make(chan struct{}, maxDials)
	for i := range n {
		gate <- struct{}{}
		go func() {
			defer func() { <-gate }()
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			var err error
			c.conns[i], err = wsconn.Dial(ctx, addr, &websocket.Request{Host: addr, Path: "/", Protocol: "jsonrpc",
				Header: map[string]string{"Authorization": "Bearer " + clientKey}}, wsconn.Options{MaxQueue: maxQueueBytes})
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

func (c *clientPool) close() {
	for _, l := range c.conns {
		l.Abort()
	}
}

// callParams are those of every call.
var callParams = []byte(`{"units":1,"work":{"copies":3,"title":"A reader for the second year"}}`)

// send sends a call whose id has the time from which its latency counts.
func (c *clientPool) send(l *wsconn.Conn, no int, at time.Time) {
	id := jsonrpc.ID(`"` + strconv.Itoa(no) + "." + strconv.FormatInt(at.UnixNano(), 10) + `"`)
	l.Send(jsonrpc.AppendCall(nil, id, "look", callParams))
}

// readResponses records responses until the session is closed; next, if not nil, sends the call that replaces an
// answered one.
func (c *clientPool) readResponses(i int, next func(l *wsconn.Conn, no int)) {
	l := c.conns[i]
	for no := 1 << 20; ; no++ { // beyond the numbers of runClosedLoop's own calls
		data, err := l.Read()
		if err != nil {
			return
		}
		now := time.Now().UnixNano()
		items, _, _ := jsonrpc.Parse(data, 1)
		for _, it := range items {
			if it.Err != nil && c.recording.Load() { // load is shed at the start, until the core has seen responses
				c.failed.Add(1)
			}
			_, at, _ := strings.Cut(strings.Trim(string(it.ID), `"`), ".")
			v, _ := strconv.ParseInt(at, 10, 64)
			if c.recording.Load() {
				c.served.Add(1)
				c.mu.Lock()
				c.latency.RecordValue(max(1, now-v))
				c.mu.Unlock()
			}
			if next != nil {
				next(l, no)
			}
		}
	}
}

// runClosedLoop keeps outstanding calls open over all sessions and returns responses a second.
func (c *clientPool) runClosedLoop(outstanding int, warm, span time.Duration) float64 {
	for i := range c.conns {
		go c.readResponses(i, func(l *wsconn.Conn, no int) { c.send(l, no, time.Now()) })
	}
	for k := range outstanding {
		c.send(c.conns[k%len(c.conns)], k, time.Now())
	}
	time.Sleep(warm)
	c.recording.Store(true)
	began := time.Now()
	time.Sleep(span)
	c.recording.Store(false)
	return float64(c.served.Load()) / time.Since(began).Seconds()
}

// runOpenLoop sends at a rate that waits for no response; latency counts from when a call was due.
func (c *clientPool) runOpenLoop(rate float64, warm, span time.Duration) {
	for i := range c.conns {
		go c.readResponses(i, nil)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	due := time.Now()
	began := due
	for no := 0; time.Since(began) < warm+span; no++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		if no&63 == 0 && time.Since(began) > warm {
			c.recording.Store(true)
		}
		c.send(c.conns[no%len(c.conns)], no, due)
	}
	time.Sleep(lateResponseTime) // for the responses to the last calls
	c.recording.Store(false)
}
