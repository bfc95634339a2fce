package websocket

import (
	"bytes"
	"encoding/json"
	"sync"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

// session is one client's connection. A goroutine reads its calls; the loop writes the responses, which wait in the
// connection's queue.
type session struct {
	server *Server
	ws     *wsconn.Conn
	member *config.Member
	skew   clockSkew // the reader's own

	mu            sync.Mutex
	calls         map[jsonrpc.ID]string // open calls: the request's ID by the client's
	notifications map[string]bool       // open notifications, by the request's ID
	closed        bool
}

// readLoop reads until the connection ends; then the client's open requests end without a response.
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
	calls, notifications := c.calls, c.notifications
	c.calls, c.notifications = nil, nil
	c.mu.Unlock()
	for _, id := range calls {
		c.server.core.Disconnected(id)
	}
	for id := range notifications {
		c.server.core.Disconnected(id)
	}
}

// isIdle reports whether no call or notification is open.
func (c *session) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCount() == 0
}

// openCount is how many calls and notifications are open; c.mu is held.
func (c *session) openCount() int { return len(c.calls) + len(c.notifications) }

// answerFunc sends the answer to one item of a message; nil means that it has none, as a notification.
type answerFunc func(answer []byte)

// send is the answerFunc of a message that is no batch. A write that fails ends the reader.
func (c *session) send(answer []byte) {
	if answer != nil {
		c.ws.Send(answer)
	}
}

// batchAnswer gathers the answers to the items of a batch; the last one sends them all.
type batchAnswer struct {
	mu        sync.Mutex
	remaining int // items without an answer
	answers   [][]byte
	send      answerFunc
}

func (b *batchAnswer) add(answer []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if answer != nil {
		b.answers = append(b.answers, answer)
	}
	b.remaining--
	if b.remaining > 0 || len(b.answers) == 0 {
		return
	}
	batch := append([]byte{'['}, bytes.Join(b.answers, []byte{','})...)
	b.send(append(batch, ']'))
}

func (c *session) handleMessage(data []byte) {
	items, isBatch, malformed := jsonrpc.Parse(data, c.server.limits.MaxBatch)
	if malformed != nil {
		c.send(jsonrpc.AppendError(nil, jsonrpc.NullID, malformed))
		return
	}
	answer := c.send
	if isBatch {
		b := &batchAnswer{remaining: len(items), send: c.send}
		answer = b.add
	}
	now := c.server.clock()
	for i := range items {
		c.handleItem(now, &items[i], answer)
	}
}

// handleItem starts the call of one item, or answers why it can't.
func (c *session) handleItem(now time.Duration, item *jsonrpc.Message, answer answerFunc) {
	if item.Invalid {
		answer(jsonrpc.AppendError(nil, item.ID, item.Err))
		return
	}
	if item.Method == "" { // a response: the gateway makes no calls to clients
		answer(nil)
		return
	}
	fail := func(code int, text string) {
		if item.IsNotification() {
			answer(nil)
			return
		}
		answer(jsonrpc.AppendError(nil, item.ID, &jsonrpc.Error{Code: code, Message: text}))
	}
	class := c.server.classes[item.Method]
	if class == nil {
		fail(jsonrpc.CodeMethodNotFound, "method not found: "+item.Method)
		return
	}
	var params callParams
	if err := params.parse(item.Params); err != nil {
		fail(jsonrpc.CodeInvalidParams, err.Error())
		return
	}
	if err := params.validate(class, c.server.maxUnits); err != nil {
		fail(jsonrpc.CodeInvalidParams, err.Error())
		return
	}
	c.startCall(c.newRequest(now, class, &params), item, answer)
}

// newRequest makes a request of a call. Its time began when the client made it, as far as that is known.
func (c *session) newRequest(now time.Duration, class *decide.Class, p *callParams) *frontend.Request {
	request := &frontend.Request{
		ID:             c.server.nextID(),
		Class:          class.Name,
		Plan:           c.member.Plan,
		Customer:       c.member.Name,
		IdempotencyKey: p.Key,
		Units:          1,
		FirstGateway:   c.member.First,
		GatewayCount:   c.member.Spread,
		IsRetry:        p.IsRetry,
		Mutates:        p.Mutates,
		Reserved:       p.Reserved,
		TraceParent:    p.TraceParent,
		Payload:        p.Work,
	}
	if p.Units != nil {
		request.Units = *p.Units
	}
	remaining := class.Deadline
	if p.DeadlineMs != nil {
		remaining = min(remaining, time.Duration(min(*p.DeadlineMs, maxDeadlineMs)*float64(time.Millisecond)))
	}
	request.Deadline = now - c.skew.age(now, p.AtMs) + remaining
	return request
}

// startCall submits a request, or rejects it. A rejected one was not submitted, so a retry is safe.
func (c *session) startCall(request *frontend.Request, item *jsonrpc.Message, answer answerFunc) {
	id, isNotification := item.ID, item.IsNotification()
	request.Done = func(r frontend.Response) { c.finishCall(request.ID, id, isNotification, r, answer) }
	c.mu.Lock()
	if !isNotification && c.calls[id] != "" {
		c.mu.Unlock()
		// An answer with this ID belongs to the open call, so the error has none and names it beside.
		data, _ := json.Marshal(map[string]json.RawMessage{"id": json.RawMessage(id)})
		answer(jsonrpc.AppendError(nil, jsonrpc.NullID, &jsonrpc.Error{
			Code:    jsonrpc.CodeInvalidRequest,
			Message: "a call with this id is open",
			Data:    data,
		}))
		return
	}
	reason := c.register(request.ID, id, isNotification)
	c.mu.Unlock()
	if reason == "" {
		c.server.core.Submit(request)
		return
	}
	c.server.countRejection(reason)
	if isNotification {
		answer(nil)
		return
	}
	rejected := frontend.Response{Kind: frontend.Rejected, Reason: reason, RetryAfter: c.server.retryAfter}
	answer(appendResponse(nil, id, rejected))
}

// register makes a request open, or returns the reason why it is rejected; c.mu is held.
func (c *session) register(requestID string, id jsonrpc.ID, isNotification bool) (reason string) {
	switch {
	case c.closed:
		return reasonClosed
	case c.server.draining.Load():
		return reasonDraining
	case c.openCount() >= c.server.limits.MaxInFlightPerSession:
		return reasonInFlightLimit
	case !c.server.core.Reserve():
		return reasonOpenRequestLimit
	}
	if isNotification {
		if c.notifications == nil {
			c.notifications = map[string]bool{}
		}
		c.notifications[requestID] = true
		return ""
	}
	if c.calls == nil {
		c.calls = map[jsonrpc.ID]string{}
	}
	c.calls[id] = requestID
	return ""
}

// finishCall answers a call; the loop calls it. While the gateway drains, the last answer closes the session.
func (c *session) finishCall(requestID string, id jsonrpc.ID, isNotification bool, r frontend.Response,
	answer answerFunc) {
	c.mu.Lock()
	if isNotification {
		delete(c.notifications, requestID)
	} else {
		delete(c.calls, id)
	}
	closed, last := c.closed, c.openCount() == 0
	c.mu.Unlock()
	if closed {
		return
	}
	if isNotification {
		answer(nil)
	} else {
		answer(appendResponse(nil, id, r))
	}
	if last && c.server.draining.Load() {
		c.ws.Close(websocket.CodeGoingAway, closeReason)
	}
}
