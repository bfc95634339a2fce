// Package websocket implements the WebSocket frontend (RFC 6455). Each session carries JSON-RPC 2.0. Each
// call becomes a request, and its method is the class of the request. Clients authenticate with a key in the
// handshake. The package does not check quotas.
//
// Files:
//   - server.go accepts connections and performs handshakes
//   - session.go processes the calls of a connection
//   - params.go decodes and validates the params of a call
//   - response.go encodes responses
//   - clockskew.go estimates the age of a call from its client's clock
package websocket

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/credentials"
	"winghatch/internal/frontend"
	"winghatch/internal/memory"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

const (
	// protocol is the WebSocket subprotocol that clients must offer.
	protocol = "jsonrpc"

	// The pause after a failed accept starts at minAcceptPause and doubles up to maxAcceptPause.
	minAcceptPause = time.Millisecond
	maxAcceptPause = time.Second

	limitWriteTimeout = time.Second // timeout of the response to a connection that is not admitted
	// After a rejected handshake, the server reads at most rejectLingerBytes for at most rejectLingerTimeout.
	// A close with bytes still unread would reset the connection, and a client that is still sending could
	// receive the reset before it has read the response.
	rejectLingerTimeout = 100 * time.Millisecond
	rejectLingerBytes   = 64 << 10

	// closeReason is the reason in the close frame of a session that ends because the gateway drains.
	closeReason = "this gateway stops"
)

// Reasons for which the frontend rejects a call or a connection. They are visible to operators.
const (
	reasonSessionLimit     = "sessions_cap" // connection at the limit on sessions or while the gateway drains
	reasonClosed           = "closed"       // call of a session that has ended
	reasonDraining         = "draining"     // call while the gateway drains
	reasonInFlightLimit    = "session_cap"  // call at the limit on open calls of a session
	reasonOpenRequestLimit = "open_cap"     // call at the limit on open requests of the gateway
	reasonMemoryLimit      = "memory_cap"   // call for whose message there is no memory
	reasonUnresponsive     = "silent"       // session whose client did not respond to pings
	reasonHandshakePrefix  = "handshake_"   // followed by the HTTP status
)

// Server is the WebSocket frontend. [New] creates it and Serve starts it. For a graceful shutdown, call Drain
// and then Close.
type Server struct {
	core               frontend.Core
	clock              func() time.Duration
	log                *slog.Logger
	limits             config.ResourceLimits
	memory             *memory.Account // of the messages of all sessions
	rank, gatewayCount int
	maxUnits           float64       // largest number of units of a request; 0: no limit
	retryAfter         time.Duration // wait before a retry that the frontend's rejections suggest; 0: none
	classes            map[string]*decide.Class
	members            []config.Member
	keys               *credentials.MemberIndex // maps keys to indices in members
	idPrefix           string
	lastID             atomic.Uint64

	draining atomic.Bool

	// mu guards the fields below, except wg.
	mu         sync.Mutex
	ln         net.Listener          // nil until Serve is called
	conns      map[net.Conn]*session // the session is nil during the handshake
	rejections map[string]int64      // number of rejections by reason

	wg sync.WaitGroup // counts connections from admit to removeSession
}

// New returns a server for the gateway with the given rank in the fleet. idPrefix is the prefix of its
// request IDs and must differ between any two starts of a gateway. clock returns the reading of the gateway's
// monotonic clock.
func New(f *config.Fleet, rank int, idPrefix string, core frontend.Core, clock func() time.Duration,
	log *slog.Logger) *Server {
	s := &Server{
		core:         core,
		clock:        clock,
		log:          log,
		limits:       f.Caps,
		memory:       memory.NewAccount(nil, int64(f.Caps.MaxSessionMemory)),
		rank:         rank,
		gatewayCount: len(f.Gateways),
		maxUnits:     f.Decide.MaxUnits,
		classes:      map[string]*decide.Class{},
		members:      f.Members,
		keys:         credentials.NewMemberIndex(f.Secret),
		idPrefix:     idPrefix,
		conns:        map[net.Conn]*session{},
		rejections:   map[string]int64{},
	}
	if f.Decide.Limits.RetryAfter {
		s.retryAfter = f.Decide.Limits.MaxRetryAfter
	}
	for i := range f.Decide.Classes {
		class := &f.Decide.Classes[i]
		s.classes[class.Name] = class
	}
	for i, member := range f.Members {
		for _, digest := range member.Keys {
			s.keys.Add(digest, i)
		}
	}
	return s
}

// nextID returns a new request ID.
func (s *Server) nextID() string { return s.idPrefix + strconv.FormatUint(s.lastID.Add(1), 36) }

// countRejection counts a rejection by the frontend.
func (s *Server) countRejection(reason string) {
	s.mu.Lock()
	s.rejections[reason]++
	s.mu.Unlock()
}

// Rejections returns the numbers of calls and connections that the frontend itself has rejected, by reason.
// They do not include the core's rejections.
func (s *Server) Rejections() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rejections)
}

// SessionCount returns the number of open connections, including those in their handshake.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts connections until Drain or Close is called. Each connection has its own goroutine, and Close
// waits for all of them.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	if s.draining.Load() { // Drain or Close was called before ln was set and could not close it
		ln.Close()
		return
	}
	pause := minAcceptPause
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example EMFILE, if the process is out of descriptors
			s.log.Warn("Accept failed, retrying", "err", err)
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		if s.admit(nc) {
			go s.serveSession(nc)
		} else {
			s.rejectConn(nc)
		}
	}
}

// admit registers a connection. It returns false at the limit on sessions and while the gateway drains.
func (s *Server) admit(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.limits.MaxSessions || s.draining.Load() {
		return false
	}
	s.conns[nc] = nil
	s.wg.Add(1)
	return true
}

// rejectConn responds with 503 to a connection that was not admitted and closes it. The write has a timeout,
// because Serve accepts no other connection until rejectConn returns.
func (s *Server) rejectConn(nc net.Conn) {
	s.countRejection(reasonSessionLimit)
	nc.SetWriteDeadline(time.Now().Add(limitWriteTimeout))
	rejection := websocket.HandshakeError{Status: http.StatusServiceUnavailable, Reason: "no more sessions"}
	nc.Write(rejection.Response())
	nc.Close()
}

// serveSession performs the handshake and then starts another goroutine to read messages. The stack of the
// current goroutine has grown during the handshake and would otherwise be kept for the lifetime of the
// session, even while it is idle.
func (s *Server) serveSession(nc net.Conn) {
	c := s.handshake(nc)
	if c == nil {
		nc.Close()
		s.removeSession(nc)
		return
	}
	s.mu.Lock()
	s.conns[nc] = c
	s.mu.Unlock()
	if s.draining.Load() { // Drain may have been called before the session was registered
		c.ws.Close(websocket.CodeGoingAway, closeReason)
	}
	go func() {
		c.readLoop()
		s.removeSession(nc)
	}()
}

// removeSession removes a connection that has ended.
func (s *Server) removeSession(nc net.Conn) {
	s.mu.Lock()
	delete(s.conns, nc)
	s.mu.Unlock()
	s.wg.Done()
}

// handshake performs the handshake within its timeout. It returns nil if the handshake fails. Until it
// succeeds, a client uses only a goroutine and a small buffer.
func (s *Server) handshake(nc net.Conn) *session {
	c := &session{server: s}
	check := func(u *websocket.Upgrade) (err error) {
		c.member, err = s.authenticate(u)
		return err
	}
	var err error
	c.ws, err = wsconn.Accept(nc, protocol, s.limits.HandshakeTimeout, check, wsconn.Options{
		MaxMessage:   int64(s.limits.MaxMessageBytes),
		MaxFrame:     int64(s.limits.MaxFrameBytes),
		MaxQueue:     s.limits.MaxQueuedBytes,
		WriteTimeout: s.limits.WriteTimeout,
		Memory:       s.memory,
	})
	if err == nil {
		return c
	}
	var rejected *websocket.HandshakeError
	if errors.As(err, &rejected) {
		s.countRejection(reasonHandshakePrefix + strconv.Itoa(rejected.Status))
		nc.Write(rejected.Response())
		if tcp, ok := nc.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
			nc.SetReadDeadline(time.Now().Add(rejectLingerTimeout))
			io.CopyN(io.Discard, nc, rejectLingerBytes)
		}
	}
	return nil
}

// authenticate returns the member whose key the client presents. It also checks that the client offers the
// subprotocol and that this gateway serves the member. Errors are of type *websocket.HandshakeError.
func (s *Server) authenticate(u *websocket.Upgrade) (*config.Member, error) {
	scheme, key, _ := strings.Cut(u.Header["authorization"], " ")
	i, ok := 0, false
	if strings.EqualFold(scheme, "Bearer") {
		i, ok = s.keys.Find(strings.TrimSpace(key))
	}
	if !ok {
		return nil, &websocket.HandshakeError{
			Status:      http.StatusUnauthorized,
			Reason:      "a key is wanted: Authorization: Bearer KEY",
			ExtraHeader: "WWW-Authenticate: Bearer realm=\"winghatch\"\r\n",
		}
	}
	if !u.Offers(protocol) {
		return nil, &websocket.HandshakeError{
			Status: http.StatusBadRequest,
			Reason: "Sec-WebSocket-Protocol: want " + protocol,
		}
	}
	member := &s.members[i]
	if (s.rank-member.First+s.gatewayCount)%s.gatewayCount >= member.Spread {
		return nil, &websocket.HandshakeError{
			Status: http.StatusForbidden,
			Reason: fmt.Sprintf("gateway %d is none of this member's, which are %d from %d on",
				s.rank, member.Spread, member.First),
		}
	}
	return member, nil
}

// PingIdle ends sessions whose client has vanished without closing the connection. It returns when the
// context ends. The requests of such a session end like those of any client that disconnects.
func (s *Server) PingIdle(ctx context.Context) {
	onEnd := func() { s.countRejection(reasonUnresponsive) }
	wsconn.PingIdle(ctx, s.limits.PingAfter, s.openConns, onEnd)
}

// openConns returns the connections that have completed their handshake.
func (s *Server) openConns() (open []*wsconn.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c != nil {
			open = append(open, c.ws)
		}
	}
	return open
}

// Drain stops accepting sessions and calls, and closes each session after its last open call has its
// response.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		s.ln.Close()
	}
	for _, c := range s.conns {
		if c != nil && c.isIdle() {
			c.ws.Close(websocket.CodeGoingAway, closeReason)
		}
	}
}

// Close closes all connections immediately and waits for their goroutines to end.
func (s *Server) Close() {
	s.draining.Store(true)
	s.mu.Lock()
	if s.ln != nil {
		s.ln.Close()
	}
	for nc := range s.conns {
		nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
