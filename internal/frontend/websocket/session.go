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
	"winghatch/internal/memory"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

// session is the connection of one client after the handshake. Its own goroutine reads calls. The gateway's
// loop puts responses into the connection's write queue.
type session struct {
	server *Server
	ws     *wsconn.Conn
	member *config.Member
	skew   clockSkew // used only by readLoop

	mu            sync.Mutex            // guards the fields below
	calls         map[jsonrpc.ID]string // request IDs of open calls, by the client's call ID
	notifications map[string]bool       // request IDs of open notifications
	closed        bool                  // whether the connection has ended
}

// readLoop processes messages until the connection ends. It then reports the disconnection to the core for
// each open request, which gets no response.
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

// openCount returns the number of open calls and notifications. The caller holds mu.
func (c *session) openCount() int { return len(c.calls) + len(c.notifications) }

// answerFunc sends the answer to one item of a message. It is called with nil for an item without an answer,
// such as a notification.
type answerFunc func(answer []byte)

// send is the answerFunc of a message that is not a batch. It returns no error, because a failed write ends
// the connection and thereby readLoop.
func (c *session) send(answer []byte) {
	if answer != nil {
		c.ws.Send(answer)
	}
}

// batchAnswer collects the answers to the items of a batch and sends them all after the last one.
type batchAnswer struct {
	mu        sync.Mutex
	remaining int // number of items not answered yet
	answers   [][]byte
	send      answerFunc
}

// add is the answerFunc of the items of a batch.
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

// handleMessage processes one message, which is a single item or a batch.
func (c *session) handleMessage(data []byte) {
	items, isBatch, parseErr := jsonrpc.Parse(data, c.server.limits.MaxBatch)
	if parseErr != nil {
		c.send(jsonrpc.AppendError(nil, jsonrpc.NullID, parseErr))
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

// handleItem starts the call of one item, or answers with the reason why it is invalid.
func (c *session) handleItem(now time.Duration, item *jsonrpc.Message, answer answerFunc) {
	if item.Invalid {
		answer(jsonrpc.AppendError(nil, item.ID, item.Err))
		return
	}
	if item.Method == "" { // a response, which is ignored because the gateway makes no calls to clients
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

// newRequest returns the request for a call. Its remaining time starts when the client made the call, if the
// client says when that was.
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
		ReceivedAt:     now,
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

// smallCallBytes is the size up to which the parameters and the ID of a call need no room in Server.memory. The limits
// on open requests bound the number of such calls.
const smallCallBytes = 1 << 10

// startCall submits a request to the core, or rejects it. A retry after a rejection is safe, because the
// request was not submitted.
func (c *session) startCall(request *frontend.Request, item *jsonrpc.Message, answer answerFunc) {
	id, isNotification := item.ID, item.IsNotification()
	request.Done = func(r frontend.Response) { c.finishCall(request.ID, id, isNotification, r, answer) }
	c.mu.Lock()
	if !isNotification && c.calls[id] != "" {
		c.mu.Unlock()
		// An answer with this ID would belong to the open call, so the error has a null ID and names the ID
		// in its data.
		data, _ := json.Marshal(map[string]json.RawMessage{"id": json.RawMessage(id)})
		answer(jsonrpc.AppendError(nil, jsonrpc.NullID, &jsonrpc.Error{
			Code:    jsonrpc.CodeInvalidRequest,
			Message: "a call with this id is open",
			Data:    data,
		}))
		return
	}
	held := memory.NewReservation(c.server.memory, smallCallBytes)
	reason := reasonMemoryLimit
	if held.Grow(len(request.Payload) + len(id)) {
		reason = c.register(request.ID, id, isNotification)
	}
	c.mu.Unlock()
	if reason != "" {
		held.Release()
	}
	request.Released = held.Release
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

// register records a request as open and returns an empty string, or returns the reason why it is rejected.
// The caller holds mu.
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

// finishCall answers a call. The gateway's loop calls it. While the gateway drains, the answer to the last
// open call closes the session.
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
