// Package http implements the HTTP/1.1 frontend. For each connection, one goroutine reads requests and
// submits them to the core. The gateway's loop writes each final response itself, without blocking. The
// package does not check quotas. Package connlimit decides which connections to keep at the connection limit.
//
// The gateway ends a client connection with a half-close and a lingering close (RFC 9112, section 9.6). It
// closes its writing side, takes no further request, reads and drops a bounded amount of what still arrives,
// and then closes the connection. A close with bytes still unread would reset the connection, and the client
// could receive the reset before it has read the response.
//
// Files:
//   - server.go starts the server and shuts it down
//   - accept.go accepts connections
//   - conn.go runs a connection
//   - read.go reads from its socket
//   - pace.go slows down clients that send more than their share
//   - pipeline.go buffers bytes that arrive while a request is open
//   - close.go ends a connection
//   - memory.go bounds the memory of bodies and of responses that clients do not take
//   - request.go validates requests
//   - txns.go refuses requests that may have run already
//   - response.go writes responses
package http

import (
	"container/list"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/internal/frontend"
	"winghatch/internal/frontend/connlimit"
	"winghatch/internal/frontend/pacing"
	"winghatch/internal/memory"
)

const (
	sweepInterval = 200 * time.Millisecond // interval between two searches for expired connections
	scratchBytes  = 16 << 10               // size of one read of bytes that are pipelined or dropped
	// lingerDivisor determines the number of connections that are reserved for lingering, which is
	// Options.MaxConns divided by lingerDivisor.
	lingerDivisor = 4
	// endingDivisor determines the number of readers that may run for connections that are already closed,
	// which is Options.MaxConns divided by endingDivisor.
	endingDivisor = 4
)

// reasonStopping is the reason in the response to a request that arrives during a shutdown.
const reasonStopping = "the gateway stops"

// Options holds the limits of a [Server].
type Options struct {
	// MaxConns limits the number of connections held at once. A quarter of it, but at least one connection,
	// is reserved for connections that linger after their half-close. When the rest is in use, package
	// connlimit selects the connections to evict. Values below 2 count as 2.
	MaxConns int
	// Memory limits the memory of the request bodies and pipelined bytes held for all connections. A request
	// whose body does not fit is rejected with status 503. Nil means no limit.
	Memory *memory.Account
	// Cores is the number of processor cores that the gateway may use. Package pacing derives from it how much
	// input is taken from clients. 0 counts as one core.
	Cores float64
}

// Counters holds the frontend's statistics for operators. Conns is a gauge; the other exported fields are
// monotonic counters.
type Counters struct {
	Conns          atomic.Int64 // connections held, including lingering ones
	Accepted       atomic.Int64 // connections accepted
	TimedOut       atomic.Int64 // connections ended by a request or idle timeout
	Evicted        atomic.Int64 // connections ended to make room for a new one
	RefusedConns   atomic.Int64 // new connections closed because no other one could be evicted
	BadRequests    atomic.Int64 // requests rejected before they reached the core
	Requests       atomic.Int64 // requests submitted to the core
	RepeatedTxns   atomic.Int64 // requests refused because of their X-Txn
	HealthChecks   atomic.Int64 // health checks answered
	Reads          atomic.Int64 // reads that returned bytes
	BytesRead      atomic.Int64 // bytes that these reads returned
	Pauses         atomic.Int64 // pauses of readers: clients send more than their share, or very small parts
	PauseTime      atomic.Int64 // total time of these pauses in nanoseconds
	AcceptPauses   atomic.Int64 // pauses between two new connections
	BodiesRefused  atomic.Int64 // requests refused as there was no memory for their body
	BodiesEnded    atomic.Int64 // connections ended by EndOldestBodies
	ResponsesEnded atomic.Int64 // connections ended by EndStalledResponses
	readDelay      atomic.Int64 // see TakeReadDelay
}

// TakeReadDelay returns the longest time since the last call that bytes of a client waited in a socket whose
// reader did not pause. It shows how long the process or its readers were not scheduled.
func (c *Counters) TakeReadDelay() time.Duration { return time.Duration(c.readDelay.Swap(0)) }

// noteReadDelay records for how long bytes waited in a socket.
func (c *Counters) noteReadDelay(delay time.Duration) {
	for {
		longest := c.readDelay.Load()
		if int64(delay) <= longest || c.readDelay.CompareAndSwap(longest, int64(delay)) {
			return
		}
	}
}

// Server is the HTTP/1.1 frontend. [New] creates it and Serve starts it. For a graceful shutdown, call Drain,
// StopAccepting, CloseInactive and Close in this order.
type Server struct {
	Counters
	rules    *Rules
	core     frontend.Core
	clock    func() time.Duration
	log      *slog.Logger
	ready    func() bool
	maxConns int
	// maxReaders limits the number of readers, including those whose connections have been closed and which
	// have not returned yet. It exceeds maxConns.
	maxReaders int

	pacer  pacer           // has a lock of its own
	memory *memory.Account // see Options.Memory

	bodiesLimited atomic.Bool // see LimitBodies

	// mu guards the fields from here to closed and the fields of conn that are marked as guarded by it. A
	// single lock makes reads, the selection of connections to close and the writing of responses mutually
	// exclusive. Otherwise a request could be read after its connection was found inactive but before the
	// connection is closed, and would be lost. System calls made under mu do not block.
	mu             sync.Mutex
	limit          *connlimit.Limiter     // tracks all connections that are not closing
	conns          map[connlimit.ID]*conn // connections whose readers have not returned
	readerReturned *sync.Cond             // signaled when a connection leaves conns, and by Close
	txns           txnTable               // X-Txn values that new requests must not have
	lastID         connlimit.ID
	paused         *list.List         // *conn values whose readers pause or have paused lately, for evictPaused
	stalled        *list.List         // *conn values whose clients do not take their responses, the first one first
	lingering      *list.List         // *conn values that are half-closed but not yet closed, the oldest first
	toClose        []*conn            // connections for unlockAndClose to close
	scratch        [scratchBytes]byte // target of reads whose bytes are copied or dropped before mu is released
	draining       bool               // whether responses to requests end their connections
	stopping       bool               // whether new requests are rejected
	closed         bool

	wg   sync.WaitGroup // readers of connections and goroutines of writeRemainder
	quit chan struct{}  // closed by Close to end the sweep
}

// New returns a server that submits requests to core. clock returns the reading of the gateway's monotonic
// clock. ready reports whether the gateway can serve requests; the health check uses it.
func New(rules *Rules, core frontend.Core, o Options, clock func() time.Duration, ready func() bool,
	log *slog.Logger) *Server {
	maxConns := max(2, o.MaxConns)
	s := &Server{
		rules:      rules,
		core:       core,
		clock:      clock,
		log:        log,
		ready:      ready,
		maxConns:   maxConns,
		maxReaders: maxConns + max(1, maxConns/endingDivisor),
		limit:      connlimit.New(maxConns - max(1, maxConns/lingerDivisor)),
		conns:      map[connlimit.ID]*conn{},
		txns:       txnTable{entries: map[string]*txnEntry{}},
		paused:     list.New(),
		stalled:    list.New(),
		lingering:  list.New(),
		memory:     o.Memory,
		quit:       make(chan struct{}),
		pacer:      pacer{budget: pacing.New(o.Cores)},
	}
	s.readerReturned = sync.NewCond(&s.mu)
	return s
}

// release returns the function that the core calls when it no longer holds a request. It releases the memory of
// the body: the core may hold it after the client has disconnected.
func (s *Server) release(entry *txnEntry, body *memory.Reservation) func() {
	return func() {
		body.Release()
		s.mu.Lock()
		s.txns.released(s.clock(), entry)
		s.mu.Unlock()
	}
}

// sweep ends the connections that have timed out every sweepInterval until Close is called.
func (s *Server) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-ticker.C:
		}
		s.closeExpired(s.clock())
	}
}

// closeExpired ends the connections that have timed out at now.
func (s *Server) closeExpired(now time.Duration) {
	s.mu.Lock()
	defer s.unlockAndClose()
	for _, id := range s.limit.Expired(now, s.unread) {
		s.TimedOut.Add(1)
		s.conns[id].closeInactive(http.StatusRequestTimeout, "the request was not whole in time")
	}
}

// Drain makes connections end with their next response to a request, which announces this with "Connection:
// close". A connection on which a further request has already been read ends after that one. The health check
// responds with 503 from then on.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// StopAccepting ends idle connections and rejects further requests. A request that has partly arrived gets a
// 503, so that it has a response before the process ends. A request that arrives later finds its connection
// half-closed.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.unlockAndClose()
	s.stopping = true
	for _, c := range s.conns {
		waiting := c.phase == idle || c.phase == reading && !c.requestStarted
		if waiting && !c.hasUnread() {
			c.closeInactive(http.StatusServiceUnavailable, reasonStopping)
		}
	}
}

// CloseInactive ends every connection without an open request, even if a request has partly arrived. It is
// meant for the time just before the process exits.
func (s *Server) CloseInactive() {
	s.mu.Lock()
	defer s.unlockAndClose()
	for _, c := range s.conns {
		if c.phase != active {
			c.closeInactive(http.StatusServiceUnavailable, reasonStopping)
		}
	}
}

// Close aborts all connections immediately and waits for their goroutines to end.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.quit)
		s.readerReturned.Broadcast()
	}
	for _, c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
