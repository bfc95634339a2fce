// Package list is an emulated list of nodes: it tells each gateway the whole list and then what changes, and
// can be late, silent, stale or wrong.
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

// List is a running one.
type Server struct {
	ln          net.Listener
	log         *invariant.Log
	delay       time.Duration
	mu          sync.Mutex
	version     uint64
	endpoints   map[string]discoveryws.Endpoint
	everListed  map[string]bool
	subscribers map[*wsconn.Conn]int // rank
	conns       map[net.Conn]bool
	silent      bool
	stopped     bool
}

// Start runs a list; what changes is told after the lag.
func Start(addr string, lag time.Duration, log *invariant.Log) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if log == nil {
		log = invariant.Discard()
	}
	l := &Server{ln: ln, log: log, delay: lag, endpoints: map[string]discoveryws.Endpoint{}, everListed: map[string]bool{}, subscribers: map[*wsconn.Conn]int{},
		conns: map[net.Conn]bool{}}
	go wsconn.Serve(ln, l.serveConn)
	return l, nil
}

// Addr is where it listens.
func (l *Server) Addr() string { return l.ln.Addr().String() }

// Silence stops it from telling anything, or lets it go on; going on it tells the whole list.
func (l *Server) SetSilent(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent = on; !on {
		l.broadcast(discoveryws.MethodFull, l.snapshot())
	}
}

// Stop ends it.
func (l *Server) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.ln.Close()
	for nc := range l.conns {
		nc.Close()
	}
}

// Set changes entries and tells of them after the lag.
func (l *Server) Update(es ...discoveryws.Endpoint) {
	change := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.version++
		for _, e := range es {
			l.everListed[e.Address] = true
			if l.endpoints[e.Address] = e; e.State == "gone" {
				delete(l.endpoints, e.Address)
			}
		}
		l.broadcast(discoveryws.MethodChange, discoveryws.Update{Version: l.version, NowMs: time.Now().UnixMilli(), Endpoints: es})
	}
	l.mu.Lock()
	lag := l.delay
	l.mu.Unlock()
	if lag == 0 {
		change()
		return
	}
	time.AfterFunc(lag, change)
}

// Lag sets after what time changes are told.
func (l *Server) SetDelay(d time.Duration) {
	l.mu.Lock()
	l.delay = d
	l.mu.Unlock()
}

// Fill takes entries at once, as a list does that starts anew and finds them.
func (l *Server) Replace(es []discoveryws.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, e := range es {
		l.endpoints[e.Address], l.everListed[e.Address] = e, true
	}
	l.broadcast(discoveryws.MethodFull, l.snapshot())
}

// Raw sends an update as it is, right or wrong, without taking it itself.
func (l *Server) SendRaw(method string, u discoveryws.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.subscribers {
		// Not noted as told: what of it a gateway may take, it takes by what it is told after.
		if raw, err := json.Marshal(u); err == nil {
			c.Send(jsonrpc.AppendCall(nil, "", method, raw))
		}
	}
}

// Version is the last one.
func (l *Server) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// Entries are all nodes on it.
func (l *Server) Endpoints() []discoveryws.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshot().Endpoints
}

func (l *Server) snapshot() discoveryws.Update {
	u := discoveryws.Update{Version: l.version, NowMs: time.Now().UnixMilli()}
	for _, e := range l.endpoints {
		u.Endpoints = append(u.Endpoints, e)
	}
	sort.Slice(u.Endpoints, func(i, j int) bool { return u.Endpoints[i].Address < u.Endpoints[j].Address })
	return u
}

func (l *Server) broadcast(method string, u discoveryws.Update) {
	if l.silent || l.stopped {
		return
	}
	for c, rank := range l.subscribers {
		l.notify(c, rank, method, u)
	}
}

func (l *Server) notify(c *wsconn.Conn, rank int, method string, u discoveryws.Update) {
	raw, err := json.Marshal(u)
	if err != nil || c.Send(jsonrpc.AppendCall(nil, "", method, raw)) != nil {
		return
	}
	listed := map[string]bool{}
	for _, e := range u.Endpoints {
		listed[e.Address] = true
		l.log.Add(invariant.Record{Kind: invariant.EndpointSent, Gateway: rank, Server: e.Address, State: e.State})
	}
	if method == discoveryws.MethodFull {
		for node := range l.everListed { // a whole list without a node says that it is gone
			if !listed[node] {
				l.log.Add(invariant.Record{Kind: invariant.EndpointSent, Gateway: rank, Server: node, State: "gone"})
			}
		}
	}
}

func (l *Server) serveConn(nc net.Conn) {
	rank := 0
	c, err := wsconn.Accept(nc, "jsonrpc", 5*time.Second, func(u *websocket.Upgrade) (err error) {
		rank, err = strconv.Atoi(u.Header["x-gateway-rank"])
		return err
	}, wsconn.Options{MaxQueue: 8 << 20})
	if err != nil {
		return
	}
	l.mu.Lock()
	l.subscribers[c], l.conns[nc] = rank, true
	if !l.silent && !l.stopped {
		l.notify(c, rank, discoveryws.MethodFull, l.snapshot())
	}
	l.mu.Unlock()
	for {
		data, err := c.Read()
		if err != nil {
			break
		}
		items, _, _ := jsonrpc.Parse(data, 16)
		for _, it := range items {
			if it.Method == discoveryws.MethodFetch {
				l.mu.Lock()
				if !l.silent {
					l.notify(c, rank, discoveryws.MethodFull, l.snapshot())
				}
				l.mu.Unlock()
			}
		}
	}
	l.mu.Lock()
	delete(l.subscribers, c)
	delete(l.conns, nc)
	l.mu.Unlock()
}
