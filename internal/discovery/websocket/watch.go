// Package websocket watches the discovery service over WebSocket. The service sends the complete endpoint list when a
// connection opens and changes after that, as JSON-RPC notifications. Updates are checked here and passed on as events
// of the core; what follows from them is decided there.
//
// The last complete list is kept in a cache file, so that a gateway can start while the service is unreachable.
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
	dialTimeout     = time.Second
	minBackoff      = 20 * time.Millisecond // between connections
	maxBackoff      = time.Second
	maxMessageBytes = 8 << 20 // of the service; a complete list is one message
	maxBatch        = 64      // notifications in one message

	protocol   = "jsonrpc"        // WebSocket subprotocol
	rankHeader = "X-Gateway-Rank" // of the handshake
)

// Options of a watch. All but CacheFile are required.
type Options struct {
	Address   string // host:port of the service
	CacheFile string // empty: the list is not cached
	Rank      int    // of the gateway, sent to the service
	Clock     func() time.Duration
	OnUpdate  func(decide.EndpointUpdate)
	Log       func(msg string, args ...any)
}

// Watch watches the endpoint list until the context ends, and reconnects with a backoff. It starts with the cached list
// as a decide.StaleUpdate. A connection that can't be opened is a decide.FailedUpdate. OnUpdate is called from this
// goroutine only.
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

type watcher struct {
	options Options
	tracker *tracker
	listed  bool // the current connection has delivered a complete list
}

// loadCache starts with the cached list, if there is one.
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
	event, _ := w.tracker.apply(w.options.Clock(), true, true, &u) // LoadList has checked it
	event.Kind = decide.StaleUpdate
	w.options.OnUpdate(event)
	w.options.Log("Started with the cached endpoint list", "version", u.Version, "endpoints", len(u.Endpoints))
}

// watchConn opens one connection and reads it until it ends. It returns whether it delivered a complete list.
func (w *watcher) watchConn(ctx context.Context) bool {
	w.listed = false
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
			return w.listed
		}
		messages, _, parseErr := jsonrpc.Parse(data, maxBatch)
		if parseErr != nil {
			w.options.Log("Discovery service sent a message that is not JSON-RPC", "err", parseErr.Message)
			return w.listed
		}
		for i := range messages {
			w.handle(conn, &messages[i])
		}
	}
}

func (w *watcher) dial(ctx context.Context) (*wsconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	request := &websocket.Request{Host: w.options.Address, Path: "/", Protocol: protocol,
		Header: map[string]string{rankHeader: strconv.Itoa(w.options.Rank)}}
	return wsconn.Dial(ctx, w.options.Address, request, wsconn.Options{MaxMessage: maxMessageBytes})
}

// handle applies one notification. Where versions are missing it asks for the complete list; any other update that is
// not applied is only logged, and the list stays as it is.
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
	event, err := w.tracker.apply(w.options.Clock(), full, full && !w.listed, &u)
	if err != nil {
		w.options.Log("Endpoint update rejected", "err", err)
		if errors.Is(err, errVersionGap) {
			conn.Send(jsonrpc.AppendCall(nil, "", MethodFetch, nil))
		}
		return
	}
	w.listed = w.listed || full
	w.options.OnUpdate(event)
	if w.options.CacheFile == "" {
		return
	}
	if err := saveList(w.options.CacheFile, w.tracker.snapshot(u.NowMs)); err != nil {
		w.options.Log("Caching the endpoint list failed", "err", err)
	}
}
