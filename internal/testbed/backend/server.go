// Package backend emulates an upstream server for tests and fault scenarios. A server has cores, a queue,
// calls that take time, slow start, overload, and deduplication by idempotency key, and it can inject faults.
// It speaks JSON-RPC over WebSocket like the servers behind a gateway, and records the calls that it receives
// and runs.
package backend

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"winghatch/internal/invariant"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/testbed/ports"
	"winghatch/internal/wsconn"
)

const (
	handshakeTimeout = 5 * time.Second
	maxQueueBytes    = 8 << 20  // bounds the queued responses that a gateway has not read yet
	readBufferBytes  = 16 << 10 // read buffer of a connection
	maxBatch         = 1024     // largest number of calls in one message
)

// Class describes how a server handles the calls of a class.
type Class struct {
	MeanWork     time.Duration // mean duration of a call on a core of speed 1
	Deduplicates bool          // whether calls with a known idempotency key are not run again
	DedupWindow  time.Duration // time after the first call for which its key is known
}

// Options configures a server.
type Options struct {
	Address string // listen address as host:port; port 0: the kernel chooses one
	Zone    string
	Cell    int
	Cores   int     // number of calls that run at the same time
	Speed   float64 // speed of a core; a call of work w takes w / Speed
	Queue   int     // largest number of waiting calls; further calls are rejected
	Classes map[string]Class

	// During slow start, the capacity grows linearly from the fraction InitialCapacity to 1 within
	// SlowStartDuration. If the server meanwhile receives more than OverloadMultiple times the work that it
	// can do within OverloadWindow, it is overloaded permanently and no longer answers. If InitialCapacity is
	// 0 or 1, there is no slow start.
	InitialCapacity   float64
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration

	Seed  uint64         // seed of the random number generator
	Log   *invariant.Log // nil: nothing is recorded
	Dedup *DedupStore    // store shared by the servers of a deduplication group; nil: a store of its own
	Meter *UsageMeter    // meter shared by all servers; nil: responses do not report usage
}

// Fault configures the faults that a server injects. The zero value injects none.
type Fault struct {
	Slowdown          float64            // factor on the duration of each call; 0 or 1: no slowdown
	ErrorShare        float64            // fraction of calls that fail without being run
	UnansweredClasses map[string]bool    // classes whose calls are run but not answered
	Unresponsive      bool               // calls are received but neither run nor answered
	TailFactor        map[string]float64 // factor on the work of some calls, by class
	TailShare         float64            // fraction of the calls of a class to which its TailFactor applies
	OmitLoadReport    bool               // leave the load report out of the responses
}

// Server is a running emulated server. It is safe for concurrent use.
type Server struct {
	options Options
	ln      net.Listener
	addr    string

	mu            sync.Mutex
	fault         Fault
	rng           *rand.Rand
	queue         []*job
	running       int
	completed     int
	started       time.Time
	overloaded    bool
	closed        bool
	recentLoad    []loadSample // calls received within OverloadWindow
	conns         map[net.Conn]*clientConn
	rate          float64 // completed calls per second, exponentially decayed with a time constant of 1 s
	rateAt        time.Time
	meanLatencyMs float64 // exponentially weighted mean of the service time, in milliseconds
}

// Start runs a server until Stop. It returns an error if the address cannot be bound.
func Start(o Options) (*Server, error) {
	ln, err := ports.Listen(o.Address)
	if err != nil {
		return nil, err
	}
	if o.Dedup == nil {
		o.Dedup = NewDedupStore()
	}
	if o.Log == nil {
		o.Log = invariant.Discard()
	}
	now := time.Now()
	s := &Server{
		options: o,
		ln:      ln,
		addr:    ln.Addr().String(),
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
		started: now,
		conns:   map[net.Conn]*clientConn{},
		rateAt:  now,
	}
	if s.slowStarts() {
		o.Log.Add(invariant.Record{Kind: invariant.SlowStarted, Server: s.addr, Capacity: s.capacity(),
			InitialCapacity: o.InitialCapacity, Duration: o.SlowStartDuration})
	}
	go wsconn.Serve(ln, s.serveConn)
	return s, nil
}

// Addr returns the listen address as host:port.
func (s *Server) Addr() string { return s.addr }

// Completed returns the number of calls whose work was finished.
func (s *Server) Completed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completed
}

// SetFault calls change with the current faults. The change applies at once.
func (s *Server) SetFault(change func(*Fault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.fault)
}

// Stop ends the server at once like a crash: connections are reset and unfinished work is lost.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.queue = nil
	s.ln.Close()
	for nc := range s.conns {
		if tc, ok := nc.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
		nc.Close()
	}
}

// CloseConnections closes all connections. The server keeps running and accepts new ones.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		nc.Close()
	}
}

// clientConn is the connection of a gateway. The server's mutex guards jobs.
type clientConn struct {
	ws   *wsconn.Conn
	jobs map[string]*job // unanswered calls by JSON-RPC id
}

// serveConn serves the connection of one gateway until it ends or a message cannot be parsed.
func (s *Server) serveConn(nc net.Conn) {
	options := wsconn.Options{MaxQueue: maxQueueBytes, ReadBuffer: readBufferBytes}
	ws, err := wsconn.Accept(nc, "jsonrpc", handshakeTimeout, nil, options)
	if err != nil {
		return
	}
	c := &clientConn{ws: ws, jobs: map[string]*job{}}
	if !s.register(nc, c) {
		return
	}
	for {
		data, err := ws.Read()
		if err != nil {
			break
		}
		messages, _, parseErr := jsonrpc.Parse(data, maxBatch)
		if parseErr != nil {
			break
		}
		s.mu.Lock()
		for i := range messages {
			s.handle(c, &messages[i])
		}
		s.mu.Unlock()
	}
	s.unregister(nc, c)
}

// register adds a connection. It returns false if the server has been stopped in the meantime.
func (s *Server) register(nc net.Conn, c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[nc] = c
	return true
}

// unregister removes a connection that has ended and cancels its calls.
func (s *Server) unregister(nc net.Conn, c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, nc)
	for _, j := range c.jobs {
		s.cancel(j)
		j.disconnected = true
	}
}
