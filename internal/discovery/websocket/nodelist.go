// Package nodelist follows the list of nodes: a WebSocket connection on which the list tells first the whole
// and then what changes, in JSON-RPC notifications. It keeps the last whole list in a file, for a start
// while the list is away. What a list says is checked here; what follows from it is decided elsewhere.
package websocket

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"winghatch/decide"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

// Entry is a node as the list tells it.
type Endpoint struct {
	Address   string  `json:"node"` // host:port
	Zone      string  `json:"zone,omitempty"`
	Cell      int     `json:"cell,omitempty"`
	Kind      string  `json:"kind,omitempty"`
	State     string  `json:"state"`                // serving, draining or gone
	StartedMs int64   `json:"started_ms,omitempty"` // by the list's clock; 0: long ago
	Weight    float64 `json:"weight,omitempty"`
}

// Update is the params of the methods "list.full" and "list.change".
type Update struct {
	Version   uint64     `json:"version"`
	NowMs     int64      `json:"now_ms"` // the list's clock
	Endpoints []Endpoint `json:"nodes"`
}

// Methods of the list's notifications.
const (
	MethodFull   = "list.full"
	MethodChange = "list.change"
	MethodFetch  = "list.fetch" // a call of the gateway: asks for the whole list
)

var states = map[string]decide.ServerState{"serving": decide.Serving, "draining": decide.Draining, "gone": decide.Removed}

// Check reports what makes an update unusable.
func (u *Update) Check() error {
	seen := map[string]bool{}
	for i, e := range u.Endpoints {
		if host, port, err := net.SplitHostPort(e.Address); err != nil || host == "" || port == "" {
			return fmt.Errorf("nodelist: version %d: nodes[%d].node: %q, want host:port", u.Version, i, e.Address)
		}
		if _, ok := states[e.State]; !ok {
			return fmt.Errorf("nodelist: version %d: nodes[%d].state: %q, want serving, draining or gone", u.Version, i, e.State)
		}
		if seen[e.Address] {
			return fmt.Errorf("nodelist: version %d: nodes[%d].node: %q comes twice", u.Version, i, e.Address)
		}
		seen[e.Address] = true
	}
	return nil
}

// Book turns updates into events. It keeps the order of versions and gives each start of a node one time of
// the gateway's clock, however often the list tells of it: a start told anew is not a new start.
type Tracker struct {
	version   uint64
	known     bool
	starts    map[string]startTime
	endpoints map[string]Endpoint
}

type startTime struct {
	reportedMs int64
	at         time.Duration
}

// NewBook returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{starts: map[string]startTime{}, endpoints: map[string]Endpoint{}}
}

// ErrGap says that versions are missing between the last update and a change: the whole list is wanted.
var ErrVersionGap = errors.New("nodelist: versions are missing, the whole list is wanted")

// ErrOld says that an update is older than the book or repeats it.
var ErrStaleVersion = errors.New("nodelist: version is not newer")

// Take checks an update and returns the event it makes. fresh marks the first whole list of a connection,
// which counts whatever its version is: the list itself may have begun anew.
func (b *Tracker) Apply(now time.Duration, full, fresh bool, u *Update) (decide.EndpointUpdate, error) {
	ev := decide.EndpointUpdate{Kind: decide.DeltaUpdate, Version: u.Version}
	if err := u.Check(); err != nil {
		return ev, err
	}
	switch {
	case full && (fresh || !b.known || u.Version > b.version):
		ev.Kind = decide.FullUpdate
		b.endpoints = map[string]Endpoint{}
	case full || b.known && u.Version <= b.version:
		return ev, ErrStaleVersion
	case !b.known || u.Version != b.version+1:
		return ev, ErrVersionGap
	}
	b.known, b.version = true, u.Version
	defer b.pruneStarts()
	for _, e := range u.Endpoints {
		ev.Servers = append(ev.Servers, b.toServer(now, u.NowMs, e))
		if b.endpoints[e.Address] = e; e.State == "gone" {
			delete(b.endpoints, e.Address)
		}
	}
	return ev, nil
}

// forget drops the starts of nodes that are gone, so that the book holds no more than the list.
func (b *Tracker) pruneStarts() {
	for node := range b.starts {
		if _, ok := b.endpoints[node]; !ok {
			delete(b.starts, node)
		}
	}
}

func (b *Tracker) toServer(now time.Duration, listNow int64, e Endpoint) decide.Server {
	s := decide.Server{ID: e.Address, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, State: states[e.State], Weight: e.Weight}
	if e.StartedMs > 0 {
		st, ok := b.starts[e.Address]
		if !ok || st.reportedMs != e.StartedMs {
			age := time.Duration(max(0, listNow-e.StartedMs)) * time.Millisecond
			st = startTime{e.StartedMs, max(1, now-age)}
			b.starts[e.Address] = st
		}
		s.StartedAt = st.at
	}
	return s
}

// Whole is all that the book holds.
func (b *Tracker) Snapshot(listNow int64) Update {
	u := Update{Version: b.version, NowMs: listNow}
	for _, e := range b.endpoints {
		u.Endpoints = append(u.Endpoints, e)
	}
	return u
}

// Keep writes a list to a file in one step: a crash leaves the old or the new.
func SaveList(file string, u Update) error {
	raw, err := json.Marshal(u)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(file), ".list-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(append(raw, '\n'))
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(f.Name(), file)
	}
	return err
}

// Kept reads what Keep wrote.
func LoadList(file string) (Update, error) {
	var u Update
	raw, err := os.ReadFile(file)
	if err != nil {
		return u, err
	}
	if err := json.Unmarshal(raw, &u); err != nil {
		return u, fmt.Errorf("nodelist: %s: %w", file, err)
	}
	return u, u.Check()
}

// Options of a client.
type Options struct {
	Address   string
	CacheFile string // file; empty: nothing is kept
	Rank      int
	Clock     func() time.Duration // the gateway's
	OnUpdate  func(decide.EndpointUpdate)
	Log       func(msg string, args ...any)
}

// Follow follows the list until the context ends, and connects anew whenever the connection breaks.
func Watch(ctx context.Context, o Options) {
	book := NewTracker()
	if o.CacheFile != "" {
		u, err := LoadList(o.CacheFile)
		switch {
		case err == nil:
			// The wall clock that told the starts may have been another: an age is never negative.
			u.NowMs = time.Now().UnixMilli()
			ev, _ := book.Apply(o.Clock(), true, true, &u)
			ev.Kind = decide.StaleUpdate
			o.OnUpdate(ev)
			o.Log("started with the list last kept", "version", u.Version, "nodes", len(u.Endpoints))
		case !errors.Is(err, os.ErrNotExist):
			o.Log("the list last kept can't be used", "err", err)
		}
	}
	wait := 20 * time.Millisecond
	for ctx.Err() == nil {
		if told := watchConn(ctx, o, book); told {
			wait = 20 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, time.Second)
	}
}

// follow is one connection's life; told is set if it brought a list.
func watchConn(ctx context.Context, o Options, book *Tracker) (told bool) {
	dial, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req := &websocket.Request{Host: o.Address, Path: "/", Protocol: "jsonrpc", Header: map[string]string{
		"X-Gateway-Rank": fmt.Sprint(o.Rank)}}
	l, err := wsconn.Dial(dial, o.Address, req, wsconn.Options{MaxMessage: 8 << 20})
	if err != nil {
		o.OnUpdate(decide.EndpointUpdate{Kind: decide.FailedUpdate})
		return false
	}
	defer l.Abort()
	stop := context.AfterFunc(ctx, func() { l.Close(websocket.CodeGoingAway, "") })
	defer stop()
	for {
		data, err := l.Read()
		if err != nil {
			return told
		}
		items, _, bad := jsonrpc.Parse(data, 64)
		if bad != nil {
			o.Log("the list sent what is not JSON-RPC", "err", bad.Message)
			return told
		}
		for _, it := range items {
			var u Update
			if it.Method != MethodFull && it.Method != MethodChange {
				continue
			}
			if err := json.Unmarshal(it.Params, &u); err != nil {
				o.Log("the list sent an update that can't be read", "err", err)
				continue
			}
			full := it.Method == MethodFull
			ev, err := book.Apply(o.Clock(), full, full && !told, &u)
			if err != nil {
				o.Log("an update of the list was not taken", "err", err)
				if errors.Is(err, ErrVersionGap) {
					l.Send(jsonrpc.AppendCall(nil, "", MethodFetch, nil))
				}
				continue
			}
			told = told || full
			o.OnUpdate(ev)
			if o.CacheFile != "" {
				if err := SaveList(o.CacheFile, book.Snapshot(u.NowMs)); err != nil {
					o.Log("the list can't be kept", "err", err)
				}
			}
		}
	}
}
