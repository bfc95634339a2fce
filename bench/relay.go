package main

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"

	"winghatch/internal/jsonrpc"
)

// relay forwards calls as a program on coder/websocket would: the same JSON-RPC, ids mapped, two connections to each
// server, no quota and round robin. Its goroutines end with the process.
type relay struct {
	servers []string
	mu      sync.Mutex
	conns   []*relayConn
	next    atomic.Uint64
}

const (
	connsPerServer = 2    // as in the gateway's settings
	queueMessages  = 4096 // that wait to be written to a connection
)

type relayConn struct {
	ws      *websocket.Conn
	out     chan []byte
	mu      sync.Mutex
	pending map[uint64]relayCall
	lastID  uint64
}

type relayCall struct {
	out chan []byte
	id  jsonrpc.ID
}

func writeLoop(c *websocket.Conn, out chan []byte) {
	for data := range out {
		if c.Write(context.Background(), websocket.MessageText, data) != nil {
			return
		}
	}
}

func (r *relay) nextConn() (*relayConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		options := &websocket.DialOptions{Subprotocols: []string{"jsonrpc"}}
		for range connsPerServer {
			for _, n := range r.servers {
				c, _, err := websocket.Dial(context.Background(), "ws://"+n+"/", options)
				if err != nil {
					return nil, err
				}
				k := &relayConn{ws: c, out: make(chan []byte, queueMessages), pending: map[uint64]relayCall{}}
				go writeLoop(c, k.out)
				go k.readLoop()
				r.conns = append(r.conns, k)
			}
		}
	}
	return r.conns[r.next.Add(1)%uint64(len(r.conns))], nil
}

func (k *relayConn) readLoop() {
	for {
		_, data, err := k.ws.Read(context.Background())
		if err != nil {
			return
		}
		items, _, _ := jsonrpc.Parse(data, 1)
		for _, it := range items {
			id, _ := strconv.ParseUint(string(it.ID), 10, 64)
			k.mu.Lock()
			c, ok := k.pending[id]
			delete(k.pending, id)
			k.mu.Unlock()
			if ok {
				c.out <- jsonrpc.AppendResult(nil, c.id, it.Result)
			}
		}
	}
}

func (r *relay) serve(w http.ResponseWriter, req *http.Request) {
	c, err := websocket.Accept(w, req, &websocket.AcceptOptions{Subprotocols: []string{"jsonrpc"}})
	if err != nil {
		return
	}
	defer c.CloseNow()
	out := make(chan []byte, queueMessages)
	go writeLoop(c, out)
	for {
		_, data, err := c.Read(context.Background())
		if err != nil {
			return
		}
		items, _, _ := jsonrpc.Parse(data, 1)
		for _, it := range items {
			k, err := r.nextConn()
			if err != nil {
				return
			}
			k.mu.Lock()
			k.lastID++
			id := k.lastID
			k.pending[id] = relayCall{out, it.ID}
			k.mu.Unlock()
			k.out <- jsonrpc.AppendCall(nil, jsonrpc.ID(strconv.FormatUint(id, 10)), it.Method, it.Params)
		}
	}
}
