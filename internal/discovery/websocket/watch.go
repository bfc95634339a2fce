// Package websocket follows the endpoint list of the discovery service over WebSocket. When a connection
// opens, the service sends the complete list as a JSON-RPC notification, and after that it sends the changes.
// The package validates these updates and passes them to the core as events; the core decides what to do
// about them.
//
// The current list is stored in a cache file, so that a gateway can start while the service is unreachable.
package websocket

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"strconv"
	"time"

	"winghatch/decide"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

const (
	dialTimeout     = time.Second           // limit on connecting, including the handshake
	minBackoff      = 20 * time.Millisecond // first pause between two connections
	maxBackoff      = time.Second
	maxMessageBytes = 8 << 20 // maximum size of a message; a complete list is one message
	maxBatch        = 64      // maximum number of notifications in one message

	protocol   = "jsonrpc"        // WebSocket subprotocol
	rankHeader = "X-Gateway-Rank" // handshake header with the rank of the gateway
)

// Options configure Watch. All but CacheFile are required.
type Options struct {
	// Address is the address of the service, host:port.
	Address string
	// CacheFile is the path of the cache file. Empty means that the list is not cached.
	CacheFile string
	// Rank is the rank of this gateway, which is sent to the service.
	Rank int
	// Clock returns the time on the gateway's monotonic clock.
	Clock func() time.Duration
	// OnUpdate is called with each event.
	OnUpdate func(decide.EndpointUpdate)
	// Log writes a log line with a message and pairs of keys and values.
	Log func(msg string, args ...any)
}

// Watch follows the endpoint list until the context ends. When a connection ends, it reconnects after a pause
// that grows with each failure. The first event is a decide.StaleUpdate with the cached list, if there is
// one. If a connection cannot be opened, the event is a decide.FailedUpdate. OnUpdate is called only from the
// goroutine that calls Watch.
func Watch(ctx context.Context, o Options) {
	w := &watcher{options: o, tracker: newTracker()}
	w.loadCache()
	backoff := minBackoff
	for ctx.Err() == nil {
		if w.watchConn(ctx) {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// watcher is the state of Watch.
type watcher struct {
	options         Options
	tracker         *tracker
	fullListApplied bool // a complete list from the current connection was applied
}

// loadCache applies the cached list, if there is one.
func (w *watcher) loadCache() {
	if w.options.CacheFile == "" {
		return
	}
	u, err := LoadList(w.options.CacheFile)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		w.options.Log("Cached endpoint list is unusable", "err", err)
		return
	}
	// The service's clock is not known yet; the best estimate is this machine's.
	u.NowMs = time.Now().UnixMilli()
	event, _ := w.tracker.apply(w.options.Clock(), true, true, &u) // cannot fail, LoadList has validated u
	event.Kind = decide.StaleUpdate
	w.options.OnUpdate(event)
	w.options.Log("Started with the cached endpoint list",
		"version", u.Version, "endpoints", len(u.Endpoints))
}

// watchConn opens one connection and handles its messages until it ends. It reports whether a complete list
// was applied.
func (w *watcher) watchConn(ctx context.Context) bool {
	w.fullListApplied = false
	conn, err := w.dial(ctx)
	if err != nil {
		w.options.OnUpdate(decide.EndpointUpdate{Kind: decide.FailedUpdate})
		return false
	}
	defer conn.Abort()
	stop := context.AfterFunc(ctx, func() { conn.Close(websocket.CodeGoingAway, "") })
	defer stop()
	for {
		data, err := conn.Read()
		if err != nil {
			return w.fullListApplied
		}
		messages, _, parseErr := jsonrpc.Parse(data, maxBatch)
		if parseErr != nil {
			w.options.Log("Discovery service sent a message that is not JSON-RPC", "err", parseErr.Message)
			return w.fullListApplied
		}
		for i := range messages {
			w.handle(conn, &messages[i])
		}
	}
}

// dial connects to the service and performs the WebSocket handshake.
func (w *watcher) dial(ctx context.Context) (*wsconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	request := &websocket.Request{Host: w.options.Address, Path: "/", Protocol: protocol,
		Header: map[string]string{rankHeader: strconv.Itoa(w.options.Rank)}}
	return wsconn.Dial(ctx, w.options.Address, request, wsconn.Options{MaxMessage: maxMessageBytes})
}

// handle applies one notification. If versions before a change are missing, it requests the complete list.
// Any other update that cannot be applied is only logged, and the list stays unchanged.
func (w *watcher) handle(conn *wsconn.Conn, m *jsonrpc.Message) {
	if m.Method != MethodFull && m.Method != MethodChange {
		return
	}
	var u Update
	if err := json.Unmarshal(m.Params, &u); err != nil {
		w.options.Log("Endpoint update is malformed", "err", err)
		return
	}
	full := m.Method == MethodFull
	event, err := w.tracker.apply(w.options.Clock(), full, full && !w.fullListApplied, &u)
	if err != nil {
		w.options.Log("Endpoint update rejected", "err", err)
		if errors.Is(err, errVersionGap) {
			conn.Send(jsonrpc.AppendCall(nil, "", MethodFetch, nil))
		}
		return
	}
	w.fullListApplied = w.fullListApplied || full
	w.options.OnUpdate(event)
	if w.options.CacheFile == "" {
		return
	}
	if err := saveList(w.options.CacheFile, w.tracker.snapshot(u.NowMs)); err != nil {
		w.options.Log("Failed to cache the endpoint list", "err", err)
	}
}
