// Package discovery emulates a discovery service for tests and fault scenarios. It sends each gateway the
// complete endpoint list and then the changes to it. It can be late, silent, stale or wrong.
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
	"winghatch/internal/testbed/ports"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

const (
	handshakeTimeout = 5 * time.Second
	maxQueueBytes    = 8 << 20 // bounds the queued data that a gateway has not read yet
	maxBatch         = 16      // largest number of requests in one message of a gateway
)

// Server is a running discovery service. It records in the log which endpoint states it sends to each
// gateway. It is safe for concurrent use.
type Server struct {
	ln  net.Listener
	log *invariant.Log

	mu          sync.Mutex
	delay       time.Duration
	version     uint64
	endpoints   map[string]discoveryws.Endpoint // current list by address
	everListed  map[string]bool                 // addresses that have been in the list at any time
	subscribers map[*wsconn.Conn]int            // rank of the gateway of each connection
	conns       map[net.Conn]bool
	silent      bool
	stopped     bool
}

// Start runs a service on addr until Stop. Update takes effect after delay. If log is nil, nothing is
// recorded. Start returns an error if addr cannot be bound.
func Start(addr string, delay time.Duration, log *invariant.Log) (*Server, error) {
	ln, err := ports.Listen(addr)
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

// Addr returns the listen address as host:port.
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

// SetSilent stops sending while silent is true; connections stay open. When it is false again, sending
// resumes with the complete list.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if !silent {
		s.broadcast(discoveryws.MethodFull, s.snapshot())
	}
}

// SetDelay sets the delay with which later calls of Update take effect.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Update changes the given endpoints and sends the change to all gateways, after the delay. An endpoint with
// the state "gone" is removed from the list.
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

// Replace adds the endpoints to the list without delay and sends the complete list, like a service that has
// found them after a restart. Endpoints that are not given stay in the list.
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

// SendRaw sends an update to all gateways without validating or applying it, also while the service is
// silent. The update is not recorded in the log: a gateway may apply only states that it could also have
// received in valid updates.
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

// Version returns the version of the list. It starts at 0 and increases with each change.
func (s *Server) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Endpoints returns the current list, sorted by address.
func (s *Server) Endpoints() []discoveryws.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot().Endpoints
}

// snapshot returns the complete list, sorted by address. The caller must hold s.mu.
func (s *Server) snapshot() discoveryws.Update {
	u := discoveryws.Update{Version: s.version, NowMs: time.Now().UnixMilli()}
	for _, e := range s.endpoints {
		u.Endpoints = append(u.Endpoints, e)
	}
	sort.Slice(u.Endpoints, func(i, j int) bool { return u.Endpoints[i].Address < u.Endpoints[j].Address })
	return u
}

// broadcast sends an update to all gateways, unless the service is silent or stopped. The caller must hold
// s.mu.
func (s *Server) broadcast(method string, u discoveryws.Update) {
	if s.silent || s.stopped {
		return
	}
	for conn, rank := range s.subscribers {
		s.notify(conn, rank, method, u)
	}
}

// notify sends an update to one gateway and records the endpoint states in it. The caller must hold s.mu.
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
			s.recordSent(rank, address, "gone") // a complete list without an address means that it is gone
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
		messages, _, _ := jsonrpc.Parse(data, maxBatch) // malformed messages are ignored
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
