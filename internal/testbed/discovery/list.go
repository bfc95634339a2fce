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
type List struct {
	ln   net.Listener
	log  *invariant.Log
	lag  time.Duration
	mu   sync.Mutex
	ver  uint64
	all  map[string]discoveryws.Entry
	ever map[string]bool
	subs map[*wsconn.Conn]int // rank
	nets map[net.Conn]bool
	mute bool
	down bool
}

// Start runs a list; what changes is told after the lag.
func Start(addr string, lag time.Duration, log *invariant.Log) (*List, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if log == nil {
		log = invariant.Discard()
	}
	l := &List{ln: ln, log: log, lag: lag, all: map[string]discoveryws.Entry{}, ever: map[string]bool{}, subs: map[*wsconn.Conn]int{},
		nets: map[net.Conn]bool{}}
	go wsconn.Listen(ln, l.conn)
	return l, nil
}

// Addr is where it listens.
func (l *List) Addr() string { return l.ln.Addr().String() }

// Silence stops it from telling anything, or lets it go on; going on it tells the whole list.
func (l *List) Silence(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mute = on; !on {
		l.tellAll(discoveryws.MethodFull, l.whole())
	}
}

// Stop ends it.
func (l *List) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	l.ln.Close()
	for nc := range l.nets {
		nc.Close()
	}
}

// Set changes entries and tells of them after the lag.
func (l *List) Set(es ...discoveryws.Entry) {
	change := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ver++
		for _, e := range es {
			l.ever[e.Node] = true
			if l.all[e.Node] = e; e.State == "gone" {
				delete(l.all, e.Node)
			}
		}
		l.tellAll(discoveryws.MethodChange, discoveryws.Update{Version: l.ver, Now: time.Now().UnixMilli(), Nodes: es})
	}
	l.mu.Lock()
	lag := l.lag
	l.mu.Unlock()
	if lag == 0 {
		change()
		return
	}
	time.AfterFunc(lag, change)
}

// Lag sets after what time changes are told.
func (l *List) Lag(d time.Duration) {
	l.mu.Lock()
	l.lag = d
	l.mu.Unlock()
}

// Fill takes entries at once, as a list does that starts anew and finds them.
func (l *List) Fill(es []discoveryws.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ver++
	for _, e := range es {
		l.all[e.Node], l.ever[e.Node] = e, true
	}
	l.tellAll(discoveryws.MethodFull, l.whole())
}

// Raw sends an update as it is, right or wrong, without taking it itself.
func (l *List) Raw(method string, u discoveryws.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.subs {
		// Not noted as told: what of it a gateway may take, it takes by what it is told after.
		if raw, err := json.Marshal(u); err == nil {
			c.Send(jsonrpc.AppendCall(nil, "", method, raw))
		}
	}
}

// Version is the last one.
func (l *List) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ver
}

// Entries are all nodes on it.
func (l *List) Entries() []discoveryws.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.whole().Nodes
}

func (l *List) whole() discoveryws.Update {
	u := discoveryws.Update{Version: l.ver, Now: time.Now().UnixMilli()}
	for _, e := range l.all {
		u.Nodes = append(u.Nodes, e)
	}
	sort.Slice(u.Nodes, func(i, j int) bool { return u.Nodes[i].Node < u.Nodes[j].Node })
	return u
}

func (l *List) tellAll(method string, u discoveryws.Update) {
	if l.mute || l.down {
		return
	}
	for c, rank := range l.subs {
		l.tell(c, rank, method, u)
	}
}

func (l *List) tell(c *wsconn.Conn, rank int, method string, u discoveryws.Update) {
	raw, err := json.Marshal(u)
	if err != nil || c.Send(jsonrpc.AppendCall(nil, "", method, raw)) != nil {
		return
	}
	listed := map[string]bool{}
	for _, e := range u.Nodes {
		listed[e.Node] = true
		l.log.Add(invariant.Record{K: invariant.Told, Gateway: rank, Node: e.Node, State: e.State})
	}
	if method == discoveryws.MethodFull {
		for node := range l.ever { // a whole list without a node says that it is gone
			if !listed[node] {
				l.log.Add(invariant.Record{K: invariant.Told, Gateway: rank, Node: node, State: "gone"})
			}
		}
	}
}

func (l *List) conn(nc net.Conn) {
	rank := 0
	c, err := wsconn.Accept(nc, "jsonrpc", 5*time.Second, func(u *websocket.Upgrade) (err error) {
		rank, err = strconv.Atoi(u.Header["x-gateway-rank"])
		return err
	}, wsconn.Options{Queue: 8 << 20})
	if err != nil {
		return
	}
	l.mu.Lock()
	l.subs[c], l.nets[nc] = rank, true
	if !l.mute && !l.down {
		l.tell(c, rank, discoveryws.MethodFull, l.whole())
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
				if !l.mute {
					l.tell(c, rank, discoveryws.MethodFull, l.whole())
				}
				l.mu.Unlock()
			}
		}
	}
	l.mu.Lock()
	delete(l.subs, c)
	delete(l.nets, nc)
	l.mu.Unlock()
}
