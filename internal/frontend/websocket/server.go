// Package websocket is the frontend in WebSocket (RFC 6455): each session carries JSON-RPC 2.0, one call a request,
// with its class as the method. A client proves who it is by a key at the handshake. The package knows no quotas.
//
// Files: server.go accepts connections and does handshakes, session.go has the calls of one connection, params.go
// what a client says of a call, response.go the encoding of responses, clockskew.go the age of a call by its client's
// clock.
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
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

const (
	// protocol is the WebSocket subprotocol that clients have to offer.
	protocol = "jsonrpc"

	minAcceptPause = time.Millisecond // after an accept that failed; doubles up to the maximum
	maxAcceptPause = time.Second

	limitWriteTimeout = time.Second // of the response to a connection beyond the limit
	// A client whose handshake was rejected may still send: to close over unread bytes would reset the connection,
	// and the reset may overtake the response. So that much is read for so long.
	rejectLingerTimeout = 100 * time.Millisecond
	rejectLingerBytes   = 64 << 10

	closeReason = "this gateway stops"
)

// Reasons for which the frontend rejects a call or a connection, as operators see them.
const (
	reasonSessionLimit     = "sessions_cap"
	reasonClosed           = "closed"
	reasonDraining         = "draining"
	reasonInFlightLimit    = "session_cap"
	reasonOpenRequestLimit = "open_cap"
	reasonUnresponsive     = "silent"
	reasonHandshakePrefix  = "handshake_" // the HTTP status follows
)

// Server is the frontend. Make it with New, start it with Serve; stop it with Drain and Close.
type Server struct {
	core               frontend.Core
	clock              func() time.Duration
	log                *slog.Logger
	limits             config.ResourceLimits
	rank, gatewayCount int
	maxUnits           float64       // of one request; 0: any number
	retryAfter         time.Duration // sent with rejections of the frontend; 0: none
	classes            map[string]*decide.Class
	members            []config.Member
	keys               *credentials.MemberIndex // of members, by their place
	idPrefix           string
	lastID             atomic.Uint64

	draining atomic.Bool

	mu         sync.Mutex
	ln         net.Listener          // nil until Serve
	conns      map[net.Conn]*session // nil during the handshake
	rejections map[string]int64      // by reason

	wg sync.WaitGroup // a goroutine each connection, from admit to removeSession
}

// New returns a server for one gateway of a fleet. idPrefix begins the ids of its requests and must differ between
// two starts of a gateway. clock is the gateway's monotonic clock.
func New(f *config.Fleet, rank int, idPrefix string, core frontend.Core, clock func() time.Duration,
	log *slog.Logger) *Server {
	s := &Server{
		core:         core,
		clock:        clock,
		log:          log,
		limits:       f.Caps,
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

func (s *Server) nextID() string { return s.idPrefix + strconv.FormatUint(s.lastID.Add(1), 36) }

func (s *Server) countRejection(reason string) {
	s.mu.Lock()
	s.rejections[reason]++
	s.mu.Unlock()
}

// Rejections is how many calls and handshakes the frontend itself rejected, by reason. The core's are not among them.
func (s *Server) Rejections() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rejections)
}

// SessionCount is how many connections are held, those in their handshake included.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts connections until Drain or Close. Each has a goroutine of its own, for which Close waits.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	if s.draining.Load() { // Drain or Close came first and knew no listener to close
		ln.Close()
		return
	}
	pause := minAcceptPause
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as no more file descriptors
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

// admit registers a connection; false: there are too many, or the gateway drains.
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

// rejectConn answers a connection beyond the limit, or of a gateway that drains. Serve calls it and accepts no other
// connection meanwhile, so the write is bounded.
func (s *Server) rejectConn(nc net.Conn) {
	s.countRejection(reasonSessionLimit)
	nc.SetWriteDeadline(time.Now().Add(limitWriteTimeout))
	rejection := websocket.HandshakeError{Status: http.StatusServiceUnavailable, Reason: "no more sessions"}
	nc.Write(rejection.Response())
	nc.Close()
}

// serveSession does the handshake and then reads in another goroutine: the stack that the handshake has grown would
// else be held for as long as an idle session lasts.
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
	if s.draining.Load() { // Drain may have come before the session was registered
		c.ws.Close(websocket.CodeGoingAway, closeReason)
	}
	go func() {
		c.readLoop()
		s.removeSession(nc)
	}()
}

func (s *Server) removeSession(nc net.Conn) {
	s.mu.Lock()
	delete(s.conns, nc)
	s.mu.Unlock()
	s.wg.Done()
}

// handshake does the handshake within its timeout and returns nil if it fails. Until it is done a client costs a
// goroutine and a small buffer.
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

// authenticate finds the member whose key the client presents. An error is a *websocket.HandshakeError.
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

// PingIdle ends sessions whose client vanished without closing, until the context ends. Their requests end as those
// of any client that disconnects.
func (s *Server) PingIdle(ctx context.Context) {
	onEnd := func() { s.countRejection(reasonUnresponsive) }
	wsconn.PingIdle(ctx, s.limits.PingAfter, s.openConns, onEnd)
}

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

// Drain takes no new session and no new call, and closes each session after its last response.
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

// Close ends all connections at once and waits for their goroutines.
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
