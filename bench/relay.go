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

// relay forwards calls like a simple program built on coder/websocket. It parses and encodes JSON-RPC with
// the same package as the gateway and replaces the id of each call by one of its own. It opens connsPerServer
// connections to each server, selects them round robin and enforces no quota. Its goroutines end with the
// process.
type relay struct {
	servers []string   // addresses, host:port
	mu      sync.Mutex // guards conns
	conns   []*relayConn
	next    atomic.Uint64 // number of calls sent
}

const (
	connsPerServer = 2    // same as in the gateway's settings
	queueMessages  = 4096 // capacity of the queue of messages to write to a connection
)

// relayConn is a connection to a server.
type relayConn struct {
	ws      *websocket.Conn
	out     chan []byte          // messages to the server
	mu      sync.Mutex           // guards pending and lastID
	pending map[uint64]relayCall // unanswered calls by id at the server
	lastID  uint64
}

// relayCall is a call that waits for its response.
type relayCall struct {
	out chan []byte // messages to the client
	id  jsonrpc.ID  // id that the client gave to the call
}

// writeLoop writes messages until a write fails.
func writeLoop(c *websocket.Conn, out chan []byte) {
	for data := range out {
		if c.Write(context.Background(), websocket.MessageText, data) != nil {
			return
		}
	}
}

// nextConn returns the connection for the next call. The first call opens all connections.
func (r *relay) nextConn() (*relayConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		options := &websocket.DialOptions{Subprotocols: []string{"jsonrpc"}}
		for range connsPerServer {
			for _, addr := range r.servers {
				c, _, err := websocket.Dial(context.Background(), "ws://"+addr+"/", options)
				if err != nil {
					return nil, err
				}
				server := &relayConn{ws: c, out: make(chan []byte, queueMessages),
					pending: map[uint64]relayCall{}}
				go writeLoop(c, server.out)
				go server.readLoop()
				r.conns = append(r.conns, server)
			}
		}
	}
	return r.conns[r.next.Add(1)%uint64(len(r.conns))], nil
}

// readLoop passes responses on to the clients until the connection ends.
func (rc *relayConn) readLoop() {
	for {
		_, data, err := rc.ws.Read(context.Background())
		if err != nil {
			return
		}
		messages, _, _ := jsonrpc.Parse(data, 1)
		for _, message := range messages {
			id, _ := strconv.ParseUint(string(message.ID), 10, 64)
			rc.mu.Lock()
			c, ok := rc.pending[id]
			delete(rc.pending, id)
			rc.mu.Unlock()
			if ok {
				c.out <- jsonrpc.AppendResult(nil, c.id, message.Result)
			}
		}
	}
}

// serve relays the calls of one client until its connection ends.
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
		messages, _, _ := jsonrpc.Parse(data, 1)
		for _, message := range messages {
			server, err := r.nextConn()
			if err != nil {
				return
			}
			server.mu.Lock()
			server.lastID++
			id := server.lastID
			server.pending[id] = relayCall{out, message.ID}
			server.mu.Unlock()
			server.out <- jsonrpc.AppendCall(nil, jsonrpc.ID(strconv.FormatUint(id, 10)),
				message.Method, message.Params)
		}
	}
}
