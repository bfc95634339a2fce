package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"winghatch/internal/invariant"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

const (
	dialTimeout     = time.Second
	readBufferBytes = 4 << 10
	maxBatch        = 4096 // largest number of responses in one message
)

// session is a WebSocket connection of one member to one gateway. Its goroutine executes run and ends with
// the connection.
type session struct {
	client *Client
	rank   int
	name   string
	ready  chan struct{} // closed when dialing has finished; ws and err are set before
	err    error
	ws     *wsconn.Conn

	mu      sync.Mutex
	calls   map[string]chan result // result channels of unanswered calls, by call id
	leaving bool                   // this client closes or has closed the session
	closed  bool                   // the connection has ended
}

// session returns the session of the request's member with the request's gateway. It opens one if there is
// none, and waits until dialing has finished.
func (c *Client) session(r *request) (*session, error) {
	key := r.member.Name + "/" + strconv.Itoa(r.gateway)
	c.mu.Lock()
	s := c.sessions[key]
	if s == nil {
		c.lastNumber++
		s = &session{
			client: c,
			rank:   r.gateway,
			name:   fmt.Sprintf("%s/%d", key, c.lastNumber),
			calls:  map[string]chan result{},
			ready:  make(chan struct{}),
		}
		c.sessions[key] = s
		go s.run(key, r.member.Key)
	}
	c.mu.Unlock()
	<-s.ready
	return s, s.err
}

// run opens the connection and reads responses until it ends. key is the session's key in the client's map of
// sessions.
func (s *session) run(key, credential string) {
	s.ws, s.err = s.dial(credential)
	close(s.ready)
	if s.err == nil {
		s.end(s.readResponses())
	}
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	if s.client.sessions[key] == s {
		delete(s.client.sessions, key)
	}
}

func (s *session) dial(credential string) (*wsconn.Conn, error) {
	ctx, cancel := context.WithTimeout(s.client.ctx, dialTimeout)
	defer cancel()
	addr := s.client.options.Gateways[s.rank]
	request := &websocket.Request{Host: addr, Path: "/", Protocol: "jsonrpc",
		Header: map[string]string{"Authorization": "Bearer " + credential}}
	return wsconn.Dial(ctx, addr, request, wsconn.Options{ReadBuffer: readBufferBytes})
}

// readResponses handles responses until the connection ends, and returns its close code.
func (s *session) readResponses() (closeCode int) {
	for {
		data, err := s.ws.Read()
		if err != nil {
			var closed *wsconn.PeerClosedError
			if errors.As(err, &closed) {
				return closed.Code
			}
			return websocket.CodeAbnormal
		}
		messages, _, parseErr := jsonrpc.Parse(data, maxBatch)
		if parseErr != nil {
			s.record(invariant.Record{Kind: invariant.Answer, Answer: "malformed"})
			continue
		}
		for i := range messages {
			s.handleResponse(&messages[i])
		}
	}
}

// end reports all unanswered calls of an ended connection as lost.
func (s *session) end(closeCode int) {
	s.mu.Lock()
	if !s.leaving {
		s.record(invariant.Record{Kind: invariant.SessionClosed, Code: closeCode})
	}
	s.closed = true
	calls := s.calls
	s.calls = nil
	s.mu.Unlock()
	for _, got := range calls {
		got <- result{kind: lost}
	}
}

func (s *session) handleResponse(m *jsonrpc.Message) {
	res := resultOf(m)
	callID := strings.Trim(string(m.ID), `"`)
	s.mu.Lock()
	got := s.calls[callID]
	delete(s.calls, callID)
	s.mu.Unlock()
	s.record(invariant.Record{Kind: invariant.Answer, CallID: callID, Answer: string(res.kind),
		State: res.reason, Duration: res.retryAfter})
	if got != nil {
		got <- res
	}
}

// resultOf returns the result that a response contains.
func resultOf(m *jsonrpc.Message) result {
	if m.Err == nil {
		return result{kind: served}
	}
	switch m.Err.Code {
	case jsonrpc.CodeRejected:
		var data struct {
			Reason       string  `json:"reason"`
			RetryAfterMs float64 `json:"retry_after_ms"`
		}
		json.Unmarshal(m.Err.Data, &data) // on an error, the reason and the delay stay empty
		retryAfter := time.Duration(data.RetryAfterMs * float64(time.Millisecond))
		return result{rejected, data.Reason, retryAfter}
	case jsonrpc.CodeFailed:
		return result{kind: failed}
	}
	return result{kind: invalid, reason: m.Err.Message}
}

// call sends a call and delivers its result to got. It returns false if the session is closed; then nothing
// was sent. The call is recorded before it is sent, so that its response is always recorded after it. If
// sending fails, a cancellation is recorded.
func (s *session) call(id, method string, params []byte, record invariant.Record, got chan result) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.closed {
		return false
	}
	s.calls[id] = got
	s.client.options.Log.Add(record)
	if s.ws.Send(jsonrpc.AppendCall(nil, jsonrpc.ID(strconv.Quote(id)), method, params)) != nil {
		delete(s.calls, id)
		s.record(invariant.Record{Kind: invariant.Cancelled, CallID: id})
		return false
	}
	return true
}

// leave waits until the session has been opened, then closes it normally.
func (s *session) leave() {
	<-s.ready
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	if s.err == nil {
		s.record(invariant.Record{Kind: invariant.ClientLeft})
		s.ws.Close(websocket.CodeNormal, "")
	}
}

// record adds a record with the name and gateway of this session to the log.
func (s *session) record(r invariant.Record) {
	r.Session = s.name
	r.Gateway = s.rank
	s.client.options.Log.Add(r)
}
