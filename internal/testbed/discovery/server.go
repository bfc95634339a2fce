// Package discovery is an emulated discovery service, for tests and fault scenarios. It sends each gateway the complete
// endpoint list and then what changes, and can be late, silent, stale or wrong.
package discovery

import (
	"encoding/json"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/invariant"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

const (
	handshakeTimeout = 5 * time.Second
	maxQueueBytes    = 8 << 20
	maxBatch         = 16 // messages of a gateway at once
)

// Server is a running discovery service. It records what it sends to each gateway in the log.
type Server struct {
	ln  net.Listener
	log *invariant.Log

	mu          sync.Mutex
	delay       time.Duration
	version     uint64
	endpoints   map[string]discoveryws.Endpoint // by address
	everListed  map[string]bool                 // by address
	subscribers map[*wsconn.Conn]int            // rank of the gateway
	conns       map[net.Conn]bool
	silent      bool
	stopped     bool
}

// Start runs a service that sends changes after the delay. log may be nil.
func Start(addr string, delay time.Duration, log *invariant.Log) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if log == nil {
		log = invariant.Discard()
	}
	s := &Server{
		ln:          ln,
		log:         log,
		delay:       delay,
		endpoints:   map[string]discoveryws.Endpoint{},
		everListed:  map[string]bool{},
		subscribers: map[*wsconn.Conn]int{},
		conns:       map[net.Conn]bool{},
	}
	go wsconn.Serve(ln, s.serveConn)
	return s, nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.ln.Close()
	for nc := range s.conns {
		nc.Close()
	}
}

// SetSilent stops the service from sending anything, its connections stay open; or lets it continue, which begins with
// the complete list.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if !silent {
		s.broadcast(discoveryws.MethodFull, s.snapshot())
	}
}

// SetDelay changes the delay after which changes are applied and sent.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Update changes endpoints and sends the change, after the delay.
func (s *Server) Update(endpoints ...discoveryws.Endpoint) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay == 0 {
		s.apply(endpoints)
		return
	}
	time.AfterFunc(delay, func() { s.apply(endpoints) })
}

func (s *Server) apply(endpoints []discoveryws.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, e := range endpoints {
		s.everListed[e.Address] = true
		if e.State == "gone" {
			delete(s.endpoints, e.Address)
		} else {
			s.endpoints[e.Address] = e
		}
	}
	s.broadcast(discoveryws.MethodChange, discoveryws.Update{
		Version:   s.version,
		NowMs:     time.Now().UnixMilli(),
		Endpoints: endpoints,
	})
}

// Replace adds endpoints at once and sends the complete list, as a restarted service does that finds them.
func (s *Server) Replace(endpoints []discoveryws.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, e := range endpoints {
		s.endpoints[e.Address] = e
		s.everListed[e.Address] = true
	}
	s.broadcast(discoveryws.MethodFull, s.snapshot())
}

// SendRaw sends an update as it is, valid or not, without applying it. It is not recorded as sent: whatever a gateway
// may apply of it, it may have applied from the valid updates.
func (s *Server) SendRaw(method string, u discoveryws.Update) {
	raw, err := json.Marshal(u)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.subscribers {
		conn.Send(jsonrpc.AppendCall(nil, "", method, raw))
	}
}

// Version returns the version of the last change.
func (s *Server) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Endpoints returns the complete list, sorted by address.
func (s *Server) Endpoints() []discoveryws.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot().Endpoints
}

// snapshot returns the complete list. s.mu is held.
func (s *Server) snapshot() discoveryws.Update {
	u := discoveryws.Update{Version: s.version, NowMs: time.Now().UnixMilli()}
	for _, e := range s.endpoints {
		u.Endpoints = append(u.Endpoints, e)
	}
	sort.Slice(u.Endpoints, func(i, j int) bool { return u.Endpoints[i].Address < u.Endpoints[j].Address })
	return u
}

// broadcast sends an update to all gateways, unless the service is silent. s.mu is held.
func (s *Server) broadcast(method string, u discoveryws.Update) {
	if s.silent || s.stopped {
		return
	}
	for conn, rank := range s.subscribers {
		s.notify(conn, rank, method, u)
	}
}

// notify sends an update to one gateway and records the states that it contains. s.mu is held.
func (s *Server) notify(conn *wsconn.Conn, rank int, method string, u discoveryws.Update) {
	raw, err := json.Marshal(u)
	if err != nil || conn.Send(jsonrpc.AppendCall(nil, "", method, raw)) != nil {
		return
	}
	listed := map[string]bool{}
	for _, e := range u.Endpoints {
		listed[e.Address] = true
		s.recordSent(rank, e.Address, e.State)
	}
	if method != discoveryws.MethodFull {
		return
	}
	for address := range s.everListed {
		if !listed[address] {
			s.recordSent(rank, address, "gone") // which a complete list without it says
		}
	}
}

func (s *Server) recordSent(rank int, address, state string) {
	s.log.Add(invariant.Record{Kind: invariant.EndpointSent, Gateway: rank, Server: address, State: state})
}

// serveConn serves one gateway until its connection ends.
func (s *Server) serveConn(nc net.Conn) {
	rank := 0
	readRank := func(u *websocket.Upgrade) (err error) {
		rank, err = strconv.Atoi(u.Header["x-gateway-rank"])
		return err
	}
	options := wsconn.Options{MaxQueue: maxQueueBytes}
	conn, err := wsconn.Accept(nc, "jsonrpc", handshakeTimeout, readRank, options)
	if err != nil {
		return
	}
	s.subscribe(nc, conn, rank)
	defer s.unsubscribe(nc, conn)
	for {
		data, err := conn.Read()
		if err != nil {
			return
		}
		messages, _, _ := jsonrpc.Parse(data, maxBatch) // what can't be parsed is ignored
		for _, m := range messages {
			if m.Method == discoveryws.MethodFetch {
				s.sendFull(conn, rank)
			}
		}
	}
}

func (s *Server) subscribe(nc net.Conn, conn *wsconn.Conn, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[conn] = rank
	s.conns[nc] = true
	if !s.silent && !s.stopped {
		s.notify(conn, rank, discoveryws.MethodFull, s.snapshot())
	}
}

func (s *Server) unsubscribe(nc net.Conn, conn *wsconn.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, conn)
	delete(s.conns, nc)
}

func (s *Server) sendFull(conn *wsconn.Conn, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.silent {
		s.notify(conn, rank, discoveryws.MethodFull, s.snapshot())
	}
}
