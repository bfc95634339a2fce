// Package websocket is the front for clients: WebSocket sessions (RFC 6455) that carry JSON-RPC 2.0, a call a
// message of work, its class as the method. A client is known by its key at the upgrade.
package websocket

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
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

const protocol = "jsonrpc"

// Server takes clients' connections.
type Server struct {
	core               frontend.Core
	clock              func() time.Duration
	log                *slog.Logger
	limits             config.ResourceLimits
	rank, gatewayCount int
	maxUnits           float64
	retryAfter         time.Duration
	classes            map[string]*decide.Class
	members            []config.Member
	keys               *credentials.MemberIndex
	prefix             string
	ids                atomic.Uint64

	draining   atomic.Bool
	mu         sync.Mutex
	ln         net.Listener
	conns      map[net.Conn]*session // nil while its handshake is under way
	rejections map[string]int64
	wg         sync.WaitGroup
}

// New returns a server for one gateway of a fleet. prefix begins the ids of its calls and must differ from
// life to life.
func New(f *config.Fleet, rank int, prefix string, core frontend.Core, clock func() time.Duration, log *slog.Logger) *Server {
	s := &Server{core: core, clock: clock, log: log, limits: f.Caps, rank: rank, gatewayCount: len(f.Gateways),
		maxUnits: f.Decide.MaxUnits, classes: map[string]*decide.Class{}, members: f.Members,
		keys: credentials.NewMemberIndex(f.Secret), prefix: prefix, conns: map[net.Conn]*session{}, rejections: map[string]int64{}}
	if f.Decide.Limits.RetryAfter {
		s.retryAfter = f.Decide.Limits.MaxRetryAfter
	}
	for i := range f.Decide.Classes {
		s.classes[f.Decide.Classes[i].Name] = &f.Decide.Classes[i]
	}
	for i, m := range f.Members {
		for _, d := range m.Keys {
			s.keys.Add(d, i)
		}
	}
	return s
}

func (s *Server) nextID() string { return s.prefix + strconv.FormatUint(s.ids.Add(1), 36) }

func (s *Server) countRejection(why string) {
	s.mu.Lock()
	s.rejections[why]++
	s.mu.Unlock()
}

// TurnedAway tells how many calls and handshakes the front itself turned away, by reason.
func (s *Server) Rejections() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for k, v := range s.rejections {
		out[k] = v
	}
	return out
}

// Sessions is how many connections are held.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve takes connections until Drain or Close.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	if s.draining.Load() { // a stop that came before this one knew of no listener to close
		ln.Close()
		return
	}
	for wait := time.Millisecond; ; {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn("a connection can't be taken", "err", err) // such as no more file descriptors
			time.Sleep(wait)
			wait = min(2*wait, time.Second)
			continue
		}
		wait = time.Millisecond
		s.mu.Lock()
		full := len(s.conns) >= s.limits.MaxSessions || s.draining.Load()
		if !full {
			s.conns[nc] = nil
			s.wg.Add(1)
		}
		s.mu.Unlock()
		if full {
			s.countRejection("sessions_cap")
			nc.SetWriteDeadline(time.Now().Add(time.Second))
			nc.Write((&websocket.HandshakeError{Status: 503, Reason: "no more sessions"}).Response())
			nc.Close()
			continue
		}
		go s.serveSession(nc)
	}
}

// session does the handshake and goes on in a goroutine of its own: what the handshake grew its stack to is not
// kept for as long as an idle session lasts.

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
	if s.draining.Load() {
		c.ws.Close(websocket.CodeGoingAway, "this gateway stops")
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

// open does the handshake. Until it is done the peer costs a goroutine and a small buffer, for a bounded time.
func (s *Server) handshake(nc net.Conn) *session {
	c := &session{server: s}
	var err error
	c.ws, err = wsconn.Accept(nc, protocol, s.limits.HandshakeTimeout, func(u *websocket.Upgrade) (err error) {
		c.member, err = s.authenticate(u)
		return err
	}, wsconn.Options{MaxMessage: int64(s.limits.MaxMessageBytes), MaxFrame: int64(s.limits.MaxFrameBytes), MaxQueue: s.limits.MaxQueuedBytes, WriteTimeout: s.limits.WriteTimeout})
	if err == nil {
		return c
	}
	var r *websocket.HandshakeError
	if errors.As(err, &r) {
		s.countRejection("handshake_" + strconv.Itoa(r.Status))
		nc.Write(r.Response())
		// What the client still sends is taken for a moment: a reset would take the answer from it.
		if tc, ok := nc.(*net.TCPConn); ok && tc.CloseWrite() == nil {
			nc.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			io.CopyN(io.Discard, nc, 64<<10)
		}
	}
	return nil
}

// known finds who a client is.
func (s *Server) authenticate(u *websocket.Upgrade) (*config.Member, error) {
	scheme, key, _ := strings.Cut(u.Header["authorization"], " ")
	i, ok := 0, false
	if strings.EqualFold(scheme, "Bearer") {
		i, ok = s.keys.Find(strings.TrimSpace(key))
	}
	if !ok {
		return nil, &websocket.HandshakeError{Status: 401, Reason: "a key is wanted: Authorization: Bearer KEY",
			ExtraHeader: "WWW-Authenticate: Bearer realm=\"winghatch\"\r\n"}
	}
	if !u.Offers(protocol) {
		return nil, &websocket.HandshakeError{Status: 400, Reason: "Sec-WebSocket-Protocol: want " + protocol}
	}
	m := &s.members[i]
	if (s.rank-m.First+s.gatewayCount)%s.gatewayCount >= m.Spread {
		return nil, &websocket.HandshakeError{Status: 403, Reason: fmt.Sprintf("gateway %d is none of this member's, which are %d from %d on",
			s.rank, m.Spread, m.First)}
	}
	return m, nil
}

// Keep finds sessions whose client vanished without closing, until the context ends. Their calls are called
// off as those of any client that leaves.
func (s *Server) PingIdle(ctx context.Context) {
	wsconn.PingIdle(ctx, s.limits.PingAfter, func() (out []*wsconn.Conn) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			if c != nil {
				out = append(out, c.ws)
			}
		}
		return out
	}, func() { s.countRejection("silent") })
}

// Drain takes no new session and no new call, and closes each session behind its last answer.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		s.ln.Close()
	}
	for _, c := range s.conns {
		if c == nil {
			continue
		}
		c.mu.Lock()
		idle := len(c.calls)+len(c.notifications) == 0
		c.mu.Unlock()
		if idle {
			c.ws.Close(websocket.CodeGoingAway, "this gateway stops")
		}
	}
}

// Close cuts all connections and waits for their goroutines.
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
