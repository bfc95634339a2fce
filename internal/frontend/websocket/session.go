package websocket

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

// session is one client's connection.
type session struct {
	s      *Server
	link   *wsconn.Conn
	member *config.Member
	skew   skew // the reader's

	mu     sync.Mutex
	open   map[jsonrpc.ID]string // calls without a final answer: the gateway's id of each
	quiet  map[string]bool       // open notifications
	closed bool
}

// run reads until the connection ends; then no answer is owed any more.
func (c *session) run() {
	for {
		data, err := c.link.Read()
		if err != nil {
			break
		}
		c.message(data)
	}
	c.mu.Lock()
	c.closed = true
	open, quiet := c.open, c.quiet
	c.open, c.quiet = nil, nil
	c.mu.Unlock()
	for _, id := range open {
		c.s.core.Gone(id)
	}
	for id := range quiet {
		c.s.core.Gone(id)
	}
}

// batch gathers the answers to a batch; the last one sends them all.
type batch struct {
	mu    sync.Mutex
	left  int
	parts [][]byte
	send  func([]byte)
}

func (b *batch) done(part []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if part != nil {
		b.parts = append(b.parts, part)
	}
	if b.left--; b.left == 0 && len(b.parts) > 0 {
		b.send(append(append([]byte{'['}, bytes.Join(b.parts, []byte{','})...), ']'))
	}
}

// send writes an answer; nil, as to a notification, is none. A failed one ends the reader.
func (c *session) send(data []byte) {
	if data != nil {
		c.link.Send(data)
	}
}

func (c *session) message(data []byte) {
	items, many, bad := jsonrpc.Parse(data, c.s.caps.Batch)
	if bad != nil {
		c.send(jsonrpc.AppendError(nil, jsonrpc.Null, bad))
		return
	}
	answer := c.send
	if many {
		b := &batch{left: len(items), send: c.send}
		answer = b.done
	}
	now := c.s.clock()
	for i := range items {
		c.item(now, &items[i], answer)
	}
}

// params is what a client says of a call.
type params struct {
	Units       *float64
	Deadline    *float64 // the time left, ms
	At          *float64 // by the client's own clock, of any origin, ms
	Key         string
	Again       bool
	Write       bool
	Reserved    bool
	TraceParent string
	Work        json.RawMessage
}

func (p *params) read(raw json.RawMessage) error {
	if len(raw) > 0 && raw[0] != '{' {
		return errors.New("params: an array, want an object")
	}
	return jsonrpc.Members(raw, func(name string, v json.RawMessage) error {
		var to any
		switch name {
		case "units":
			return number(&p.Units, name, v)
		case "deadline_ms":
			return number(&p.Deadline, name, v)
		case "at_ms":
			return number(&p.At, name, v)
		case "work":
			p.Work = append(p.Work[:0:0], v...) // v is only good until the next message
			return nil
		case "key":
			if plain(v) {
				p.Key = string(v[1 : len(v)-1])
				return nil
			}
			to = &p.Key
		case "again":
			to = &p.Again
		case "write":
			to = &p.Write
		case "reserved":
			to = &p.Reserved
		case "traceparent":
			to = &p.TraceParent
		default:
			return fmt.Errorf("params.%.40s: unknown field", name)
		}
		if err := json.Unmarshal(v, to); err != nil {
			return fmt.Errorf("params.%s: %.40s: %w", name, v, err)
		}
		return nil
	})
}

// plain reports whether a JSON value is a string that means itself, so that nothing has to be unescaped.
func plain(v json.RawMessage) bool { return v[0] == '"' && !bytes.ContainsRune(v, '\\') }

func number(to **float64, name string, v json.RawMessage) error {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || v[0] == 'n' {
		if string(v) == "null" {
			return nil
		}
		return fmt.Errorf("params.%s: %.40s, want a number", name, v)
	}
	*to = &x
	return nil
}

const maxKey = 128

func (p *params) check(k *decide.Class, most float64) error {
	least := func(field string, v *float64, least float64) error {
		if v != nil && (!(*v >= least) || math.IsInf(*v, 0)) {
			return fmt.Errorf("params.%s: %v, want a number of %v or more", field, *v, least)
		}
		return nil
	}
	if err := least("units", p.Units, 0); err != nil {
		return err
	}
	if err := least("deadline_ms", p.Deadline, 0); err != nil {
		return err
	}
	switch {
	case p.Units != nil && most > 0 && *p.Units > most:
		return fmt.Errorf("params.units: %v, want %v at most", *p.Units, most)
	case k.Idempotency == decide.IdempotentByKey && p.Key == "":
		return fmt.Errorf("params.key: missing, %s is keyed", k.Name)
	case len(p.Key) > maxKey:
		return fmt.Errorf("params.key: %d bytes, want %d at most", len(p.Key), maxKey)
	}
	return nil
}

func (c *session) item(now time.Duration, it *jsonrpc.Item, answer func([]byte)) {
	if it.Bad {
		answer(jsonrpc.AppendError(nil, it.ID, it.Err))
		return
	}
	if it.Method == "" { // an answer: the gateway asks its clients nothing
		answer(nil)
		return
	}
	fail := func(e *jsonrpc.Error) {
		if it.Notification() {
			answer(nil)
			return
		}
		answer(jsonrpc.AppendError(nil, it.ID, e))
	}
	k := c.s.classes[it.Method]
	if k == nil {
		fail(&jsonrpc.Error{Code: jsonrpc.CodeNoMethod, Message: "method not found: " + it.Method})
		return
	}
	var p params
	if err := p.read(it.Params); err != nil {
		fail(&jsonrpc.Error{Code: jsonrpc.CodeInvalidParams, Message: err.Error()})
		return
	}
	if err := p.check(k, c.s.maxUnits); err != nil {
		fail(&jsonrpc.Error{Code: jsonrpc.CodeInvalidParams, Message: err.Error()})
		return
	}
	c.call(now, it, k, &p, answer)
}

func (c *session) call(now time.Duration, it *jsonrpc.Item, k *decide.Class, p *params, answer func([]byte)) {
	id, quiet := it.ID, it.Notification()
	call := &frontend.Call{ID: c.s.nextID(), Class: k.Name, Plan: c.member.Plan, Member: c.member.Name, Key: p.Key,
		Units: 1, First: c.member.First, Spread: c.member.Spread, Again: p.Again, Write: p.Write, Reserved: p.Reserved, TraceParent: p.TraceParent,
		Work: p.Work}
	if p.Units != nil {
		call.Units = *p.Units
	}
	left := k.Deadline
	if p.Deadline != nil {
		left = min(left, time.Duration(min(*p.Deadline, 1e12)*float64(time.Millisecond)))
	}
	call.Deadline = now - c.skew.age(now, p.At) + left
	call.Done = func(f frontend.Final) {
		c.mu.Lock()
		if quiet {
			delete(c.quiet, call.ID)
		} else {
			delete(c.open, id)
		}
		closed, last := c.closed, len(c.open)+len(c.quiet) == 0
		c.mu.Unlock()
		if closed {
			return
		}
		if quiet {
			answer(nil)
		} else {
			answer(appendFinal(nil, id, f))
		}
		if last && c.s.draining.Load() {
			c.link.Close(websocket.CodeGoingAway, "this gateway stops")
		}
	}
	c.mu.Lock()
	why := ""
	switch {
	case c.closed:
		why = "closed"
	case !quiet && c.open[id] != "":
		// An answer with this id belongs to the call that is open; the error names the id beside it.
		c.mu.Unlock()
		data, _ := json.Marshal(map[string]json.RawMessage{"id": json.RawMessage(id)})
		answer(jsonrpc.AppendError(nil, jsonrpc.Null, &jsonrpc.Error{Code: jsonrpc.CodeInvalidRequest,
			Message: "a call with this id is open", Data: data}))
		return
	case c.s.draining.Load():
		why = "draining"
	case len(c.open)+len(c.quiet) >= c.s.caps.SessionOpen:
		why = "session_cap"
	case !c.s.core.Enter():
		why = "open_cap"
	case quiet:
		if c.quiet == nil {
			c.quiet = map[string]bool{}
		}
		c.quiet[call.ID] = true
	default:
		if c.open == nil {
			c.open = map[jsonrpc.ID]string{}
		}
		c.open[id] = call.ID
	}
	c.mu.Unlock()
	if why == "" {
		c.s.core.Call(call)
		return
	}
	// Nothing of the call has gone anywhere, so it is harmless to repeat.
	c.s.turnedAway(why)
	if quiet {
		answer(nil)
		return
	}
	answer(appendFinal(nil, id, frontend.Final{Kind: frontend.Refused, Reason: why, RetryAfter: c.s.retryAfter}))
}

// appendFinal writes a final answer as JSON-RPC.
func appendFinal(dst []byte, id jsonrpc.ID, f frontend.Final) []byte {
	switch f.Kind {
	case frontend.Served:
		r := strconv.AppendFloat([]byte(`{"units":`), f.Units, 'g', -1, 64)
		if len(f.Body) > 0 {
			r = append(append(r, `,"body":`...), f.Body...)
		}
		return jsonrpc.AppendResult(dst, id, append(r, '}'))
	case frontend.Refused:
		data := []byte(`{"reason":"` + f.Reason + `"`)
		if f.RetryAfter > 0 {
			data = strconv.AppendInt(append(data, `,"retry_after_ms":`...), f.RetryAfter.Milliseconds(), 10)
		}
		return jsonrpc.AppendError(dst, id, &jsonrpc.Error{Code: jsonrpc.CodeRefused, Message: "refused",
			Data: append(data, '}')})
	}
	return jsonrpc.AppendError(dst, id, &jsonrpc.Error{Code: jsonrpc.CodeFailed, Message: "failed"})
}

// skew tells how long a call was under way or lay unread, from the client's own clock of any origin: the
// quickest call of the session is taken to have been under way for no time. A gateway that stood still finds
// by it how old each call is. A client's clock that steps back begins anew.
type skew struct {
	known       bool
	least, last float64 // ms
}

func (s *skew) age(now time.Duration, at *float64) time.Duration {
	if at == nil || math.IsNaN(*at) || math.IsInf(*at, 0) {
		return 0
	}
	d := float64(now)/float64(time.Millisecond) - *at
	if !s.known || *at < s.last || d < s.least {
		s.known, s.least = true, d
	}
	s.last = *at
	return time.Duration(min(d-s.least, 60_000) * float64(time.Millisecond))
}
