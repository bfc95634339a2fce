// Package backend is an emulated upstream server, for tests and fault scenarios: cores, a queue, work that takes time,
// slow start and overload, deduplication by idempotency key, and the faults that a server may have. It speaks JSON-RPC
// over WebSocket as the gateway's servers do, and records what it receives and runs.
package backend

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"winghatch/internal/invariant"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/wsconn"
)

const (
	handshakeTimeout = 5 * time.Second
	maxQueueBytes    = 8 << 20  // of responses that a gateway has not read
	readBufferBytes  = 16 << 10 // of a connection
	maxBatch         = 1024     // calls in one message
)

// Class is how a server treats the calls of a class.
type Class struct {
	MeanWork     time.Duration // on a core of speed 1
	Deduplicates bool          // by idempotency key
	DedupWindow  time.Duration
}

// Options of a server.
type Options struct {
	Address string // host:port; port 0 lets the kernel choose
	Zone    string
	Cell    int
	Cores   int
	Speed   float64 // of a core
	Queue   int     // calls that may wait; more are rejected
	Classes map[string]Class

	// Slow start: capacity grows from InitialCapacity, a share of all, to all of it in SlowStartDuration. Meanwhile the
	// server is overloaded for good if it receives more than OverloadMultiple times the work that it can do within
	// OverloadWindow. InitialCapacity 0 or 1: no slow start.
	InitialCapacity   float64
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration

	Seed  uint64         // of the random draws
	Log   *invariant.Log // nil: nothing is recorded
	Dedup *DedupStore    // shared by the servers of a group; nil: one of its own
	Meter *UsageMeter    // shared by all servers; nil: responses do not report usage
}

// Fault is what is wrong with a server; the zero value is nothing.
type Fault struct {
	Slowdown          float64            // times slower; 0 or 1: not slower
	ErrorShare        float64            // share of calls that fail at once
	UnansweredClasses map[string]bool    // classes whose calls are run and never answered
	Unresponsive      bool               // calls are received and neither run nor answered
	TailFactor        map[string]float64 // by class: times the work of some calls
	TailShare         float64            // share of the calls of such a class
	OmitLoadReport    bool               // responses do not report load
}

// Server is a running server.
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
	recentLoad    []loadSample // within OverloadWindow
	conns         map[net.Conn]*clientConn
	rate          float64 // completed calls a second, exponentially faded
	rateAt        time.Time
	meanLatencyMs float64 // of service, exponentially faded
}

// Start runs a server until Stop.
func Start(o Options) (*Server, error) {
	ln, err := net.Listen("tcp", o.Address)
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

// Addr returns the listen address.
func (s *Server) Addr() string { return s.addr }

// Completed returns how many calls were run to their end.
func (s *Server) Completed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completed
}

// SetFault changes what is wrong with the server.
func (s *Server) SetFault(change func(*Fault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.fault)
}

// Stop ends the server at once, as a crash does: connections are reset, work is lost.
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

// CloseConnections closes all connections; the server continues.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		nc.Close()
	}
}

// clientConn is a gateway's connection. The server's mutex guards jobs.
type clientConn struct {
	ws   *wsconn.Conn
	jobs map[string]*job // without a response, by JSON-RPC id
}

// serveConn serves one gateway's connection until it ends.
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

// register returns false if the server was stopped meanwhile.
func (s *Server) register(nc net.Conn, c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[nc] = c
	return true
}

// unregister cancels the calls of a connection that has ended.
func (s *Server) unregister(nc net.Conn, c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, nc)
	for _, j := range c.jobs {
		s.cancel(j)
		j.disconnected = true
	}
}
