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
	server *Server
	ws     *wsconn.Conn
	member *config.Member
	skew   clockSkew // the reader's

	mu            sync.Mutex
	calls         map[jsonrpc.ID]string // calls without a final answer: the gateway's id of each
	notifications map[string]bool       // open notifications
	closed        bool
}

// run reads until the connection ends; then no answer is owed any more.
func (c *session) readLoop() {
	for {
		data, err := c.ws.Read()
		if err != nil {
			break
		}
		c.handleMessage(data)
	}
	c.mu.Lock()
	c.closed = true
	open, quiet := c.calls, c.notifications
	c.calls, c.notifications = nil, nil
	c.mu.Unlock()
	for _, id := range open {
		c.server.core.Disconnected(id)
	}
	for id := range quiet {
		c.server.core.Disconnected(id)
	}
}

// batch gathers the answers to a batch; the last one sends them all.
type batchAnswer struct {
	mu        sync.Mutex
	remaining int
	parts     [][]byte
	send      func([]byte)
}

func (b *batchAnswer) add(part []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if part != nil {
		b.parts = append(b.parts, part)
	}
	if b.remaining--; b.remaining == 0 && len(b.parts) > 0 {
		b.send(append(append([]byte{'['}, bytes.Join(b.parts, []byte{','})...), ']'))
	}
}

// send writes an answer; nil, as to a notification, is none. A failed one ends the reader.
func (c *session) send(data []byte) {
	if data != nil {
		c.ws.Send(data)
	}
}

func (c *session) handleMessage(data []byte) {
	items, many, bad := jsonrpc.Parse(data, c.server.limits.MaxBatch)
	if bad != nil {
		c.send(jsonrpc.AppendError(nil, jsonrpc.NullID, bad))
		return
	}
	answer := c.send
	if many {
		b := &batchAnswer{remaining: len(items), send: c.send}
		answer = b.add
	}
	now := c.server.clock()
	for i := range items {
		c.handleItem(now, &items[i], answer)
	}
}

// params is what a client says of a call.
type callParams struct {
	Units       *float64
	DeadlineMs  *float64 // the time left, ms
	AtMs        *float64 // by the client's own clock, of any origin, ms
	Key         string
	IsRetry     bool
	Mutates     bool
	Reserved    bool
	TraceParent string
	Work        json.RawMessage
}

func (p *callParams) parse(raw json.RawMessage) error {
	if len(raw) > 0 && raw[0] != '{' {
		return errors.New("params: an array, want an object")
	}
	return jsonrpc.ForEachMember(raw, func(name string, v json.RawMessage) error {
		var to any
		switch name {
		case "units":
			return parseNumber(&p.Units, name, v)
		case "deadline_ms":
			return parseNumber(&p.DeadlineMs, name, v)
		case "at_ms":
			return parseNumber(&p.AtMs, name, v)
		case "work":
			p.Work = append(p.Work[:0:0], v...) // v is only good until the next message
			return nil
		case "key":
			if isPlainString(v) {
				p.Key = string(v[1 : len(v)-1])
				return nil
			}
			to = &p.Key
		case "again":
			to = &p.IsRetry
		case "write":
			to = &p.Mutates
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
func isPlainString(v json.RawMessage) bool { return v[0] == '"' && !bytes.ContainsRune(v, '\\') }

func parseNumber(to **float64, name string, v json.RawMessage) error {
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

const maxKeyLen = 128

func (p *callParams) validate(k *decide.Class, most float64) error {
	least := func(field string, v *float64, least float64) error {
		if v != nil && (!(*v >= least) || math.IsInf(*v, 0)) {
			return fmt.Errorf("params.%s: %v, want a number of %v or more", field, *v, least)
		}
		return nil
	}
	if err := least("units", p.Units, 0); err != nil {
		return err
	}
	if err := least("deadline_ms", p.DeadlineMs, 0); err != nil {
		return err
	}
	switch {
	case p.Units != nil && most > 0 && *p.Units > most:
		return fmt.Errorf("params.units: %v, want %v at most", *p.Units, most)
	case k.Idempotency == decide.IdempotentByKey && p.Key == "":
		return fmt.Errorf("params.key: missing, %s is keyed", k.Name)
	case len(p.Key) > maxKeyLen:
		return fmt.Errorf("params.key: %d bytes, want %d at most", len(p.Key), maxKeyLen)
	}
	return nil
}

func (c *session) handleItem(now time.Duration, it *jsonrpc.Message, answer func([]byte)) {
	if it.Invalid {
		answer(jsonrpc.AppendError(nil, it.ID, it.Err))
		return
	}
	if it.Method == "" { // an answer: the gateway asks its clients nothing
		answer(nil)
		return
	}
	fail := func(e *jsonrpc.Error) {
		if it.IsNotification() {
			answer(nil)
			return
		}
		answer(jsonrpc.AppendError(nil, it.ID, e))
	}
	k := c.server.classes[it.Method]
	if k == nil {
		fail(&jsonrpc.Error{Code: jsonrpc.CodeMethodNotFound, Message: "method not found: " + it.Method})
		return
	}
	var p callParams
	if err := p.parse(it.Params); err != nil {
		fail(&jsonrpc.Error{Code: jsonrpc.CodeInvalidParams, Message: err.Error()})
		return
	}
	if err := p.validate(k, c.server.maxUnits); err != nil {
		fail(&jsonrpc.Error{Code: jsonrpc.CodeInvalidParams, Message: err.Error()})
		return
	}
	c.startCall(now, it, k, &p, answer)
}

func (c *session) startCall(now time.Duration, it *jsonrpc.Message, k *decide.Class, p *callParams, answer func([]byte)) {
	id, quiet := it.ID, it.IsNotification()
	call := &frontend.Request{ID: c.server.nextID(), Class: k.Name, Plan: c.member.Plan, Customer: c.member.Name, IdempotencyKey: p.Key,
		Units: 1, FirstGateway: c.member.First, GatewayCount: c.member.Spread, IsRetry: p.IsRetry, Mutates: p.Mutates, Reserved: p.Reserved, TraceParent: p.TraceParent,
		Payload: p.Work}
	if p.Units != nil {
		call.Units = *p.Units
	}
	left := k.Deadline
	if p.DeadlineMs != nil {
		left = min(left, time.Duration(min(*p.DeadlineMs, 1e12)*float64(time.Millisecond)))
	}
	call.Deadline = now - c.skew.age(now, p.AtMs) + left
	call.Done = func(f frontend.Response) {
		c.mu.Lock()
		if quiet {
			delete(c.notifications, call.ID)
		} else {
			delete(c.calls, id)
		}
		closed, last := c.closed, len(c.calls)+len(c.notifications) == 0
		c.mu.Unlock()
		if closed {
			return
		}
		if quiet {
			answer(nil)
		} else {
			answer(appendFinal(nil, id, f))
		}
		if last && c.server.draining.Load() {
			c.ws.Close(websocket.CodeGoingAway, "this gateway stops")
		}
	}
	c.mu.Lock()
	why := ""
	switch {
	case c.closed:
		why = "closed"
	case !quiet && c.calls[id] != "":
		// An answer with this id belongs to the call that is open; the error names the id beside it.
		c.mu.Unlock()
		data, _ := json.Marshal(map[string]json.RawMessage{"id": json.RawMessage(id)})
		answer(jsonrpc.AppendError(nil, jsonrpc.NullID, &jsonrpc.Error{Code: jsonrpc.CodeInvalidRequest,
			Message: "a call with this id is open", Data: data}))
		return
	case c.server.draining.Load():
		why = "draining"
	case len(c.calls)+len(c.notifications) >= c.server.limits.MaxInFlightPerSession:
		why = "session_cap"
	case !c.server.core.Reserve():
		why = "open_cap"
	case quiet:
		if c.notifications == nil {
			c.notifications = map[string]bool{}
		}
		c.notifications[call.ID] = true
	default:
		if c.calls == nil {
			c.calls = map[jsonrpc.ID]string{}
		}
		c.calls[id] = call.ID
	}
	c.mu.Unlock()
	if why == "" {
		c.server.core.Submit(call)
		return
	}
	// Nothing of the call has gone anywhere, so it is harmless to repeat.
	c.server.countRejection(why)
	if quiet {
		answer(nil)
		return
	}
	answer(appendFinal(nil, id, frontend.Response{Kind: frontend.Rejected, Reason: why, RetryAfter: c.server.retryAfter}))
}

// appendFinal writes a final answer as JSON-RPC.
func appendFinal(dst []byte, id jsonrpc.ID, f frontend.Response) []byte {
	switch f.Kind {
	case frontend.Served:
		r := strconv.AppendFloat([]byte(`{"units":`), f.Units, 'g', -1, 64)
		if len(f.Body) > 0 {
			r = append(append(r, `,"body":`...), f.Body...)
		}
		return jsonrpc.AppendResult(dst, id, append(r, '}'))
	case frontend.Rejected:
		data := []byte(`{"reason":"` + f.Reason + `"`)
		if f.RetryAfter > 0 {
			data = strconv.AppendInt(append(data, `,"retry_after_ms":`...), f.RetryAfter.Milliseconds(), 10)
		}
		return jsonrpc.AppendError(dst, id, &jsonrpc.Error{Code: jsonrpc.CodeRejected, Message: "refused",
			Data: append(data, '}')})
	}
	return jsonrpc.AppendError(dst, id, &jsonrpc.Error{Code: jsonrpc.CodeFailed, Message: "failed"})
}

// skew tells how long a call was under way or lay unread, from the client's own clock of any origin: the
// quickest call of the session is taken to have been under way for no time. A gateway that stood still finds
// by it how old each call is. A client's clock that steps back begins anew.
type clockSkew struct {
	known               bool
	leastOffset, lastAt float64 // ms
}

func (s *clockSkew) age(now time.Duration, at *float64) time.Duration {
	if at == nil || math.IsNaN(*at) || math.IsInf(*at, 0) {
		return 0
	}
	d := float64(now)/float64(time.Millisecond) - *at
	if !s.known || *at < s.lastAt || d < s.leastOffset {
		s.known, s.leastOffset = true, d
	}
	s.lastAt = *at
	return time.Duration(min(d-s.leastOffset, 60_000) * float64(time.Millisecond))
}
