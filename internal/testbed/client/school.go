// Package school is an emulated ordering program of many members: sessions to their gateways, orders at a
// rate that does not wait for answers, tries again where the protocol says that they are harmless.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"winghatch/decide"
	"winghatch/internal/invariant"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

// Member is who orders.
type Member struct {
	Name, Key                  string
	FirstGateway, GatewayCount int
	Weight                     float64 // of all orders; 0: 1
}

// Class is a kind of order.
type Class struct {
	Name             string
	Share            float64
	Idempotency      decide.Idempotency
	DedupScope       decide.DedupScope
	DedupWindow      time.Duration
	LatencyObjective time.Duration
	Deadline         time.Duration
	MaxUnits         int
}

// Options describe a school.
type Options struct {
	Gateways   []string // addresses by rank
	Members    []Member
	Classes    []Class
	Rate       float64 // orders a second
	Retries    int
	RetryDelay time.Duration // before a try again, where nothing longer is advised
	Seed       uint64
	Log        *invariant.Log
}

// Trouble is what the school does beyond its usual.
type Fault struct {
	RateFactor       float64            // times the usual rate; 0: 1
	WeightFactor     map[string]float64 // times a member's weight
	UseReservation   map[string]bool    // members half of whose tries use reserved units
	FirstGatewayOnly map[string]bool    // members that use only the first of their gateways
}

// Stats are an account of orders; an order is one however often it is tried.
type Stats struct {
	Requests, Served, WithinObjective, Refused, Failed, Lost int64
	Attempts, Unreachable                                    int64
	Reasons                                                  map[string]int64
	Latency                                                  *hdrhistogram.Histogram // of served orders, µs
}

// School is a running one.
type Client struct {
	options    Options
	mu         sync.Mutex
	rng        *rand.Rand
	fault      Fault
	stats      Stats
	sessions   map[string]*session
	lastNumber int
	wg         sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns a school that Run starts.
func New(o Options) *Client {
	if o.Log == nil {
		o.Log = invariant.Discard()
	}
	ctx, shut := context.WithCancel(context.Background())
	return &Client{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), sessions: map[string]*session{}, ctx: ctx, cancel: shut,
		stats: Stats{Reasons: map[string]int64{}, Latency: hdrhistogram.New(1, 60_000_000, 3)}}
}

// Set changes what the school does.
func (s *Client) SetFault(f func(*Fault)) {
	s.mu.Lock()
	f(&s.fault)
	s.mu.Unlock()
}

// Stats reads the account.
func (s *Client) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Reasons = map[string]int64{}
	for k, v := range s.stats.Reasons {
		st.Reasons[k] = v
	}
	st.Latency = hdrhistogram.Import(s.stats.Latency.Export())
	return st
}

// Run sends orders until the context ends, then waits for what is open. Orders that an earlier one holds up
// are sent late rather than left out.
func (s *Client) Run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		s.mu.Lock()
		rate := s.options.Rate * max(1, s.fault.RateFactor)
		if s.fault.RateFactor > 0 && s.fault.RateFactor < 1 {
			rate = s.options.Rate * s.fault.RateFactor
		}
		next = next.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		o := s.drawRequest()
		s.mu.Unlock()
		if d := time.Until(next); d > 0 {
			select {
			case <-time.After(d):
			case <-ctx.Done():
				s.wg.Wait()
				return
			}
		}
		s.wg.Add(1)
		go func() { defer s.wg.Done(); s.run(o) }()
	}
	s.wg.Wait()
}

// Close leaves all sessions.
func (s *Client) Close() {
	s.cancel()
	s.Reconnect()
}

// Reconnect leaves every session and lets new ones come at one stroke.
func (s *Client) Reconnect() {
	s.mu.Lock()
	all := s.sessions
	s.sessions = map[string]*session{}
	s.mu.Unlock()
	for _, x := range all {
		x.leave()
	}
}

type request struct {
	number        int
	member        *Member
	class         *Class
	units         int
	actualUnits   int
	deadlineShare float64 // of the deadline that a try is given
	gateway       int
	key           string
}

// order draws one; s is locked.
func (s *Client) drawRequest() *request {
	o := &request{deadlineShare: 0.5 + 0.5*s.rng.Float64()}
	s.lastNumber++
	o.number = s.lastNumber
	total := 0.0
	weight := func(m *Member) float64 {
		w := m.Weight
		if w == 0 {
			w = 1
		}
		if f, ok := s.fault.WeightFactor[m.Name]; ok {
			w *= f
		}
		return w
	}
	for i := range s.options.Members {
		total += weight(&s.options.Members[i])
	}
	at := s.rng.Float64() * total
	for i := range s.options.Members {
		o.member = &s.options.Members[i]
		if at -= weight(o.member); at < 0 {
			break
		}
	}
	at = s.rng.Float64()
	for i := range s.options.Classes {
		o.class = &s.options.Classes[i]
		if at -= o.class.Share; at < 0 {
			break
		}
	}
	o.units = 1 + s.rng.IntN(max(1, o.class.MaxUnits))
	o.actualUnits = min(max(1, o.class.MaxUnits), max(1, o.units+s.rng.IntN(3)-1))
	o.key = fmt.Sprintf("k%d", o.number)
	if s.fault.FirstGatewayOnly[o.member.Name] {
		o.gateway = o.member.FirstGateway
	} else {
		o.gateway = (o.member.FirstGateway + s.rng.IntN(o.member.GatewayCount)) % len(s.options.Gateways)
	}
	return o
}

// answer is how a try ended.
type result struct {
	kind       string // served, refused, failed, invalid, lost (the session broke) or unreachable
	reason     string
	retryAfter time.Duration
}

// serve tries an order until it is answered for good.
func (s *Client) run(o *request) {
	began := time.Now()
	last := result{}
	for try := 0; ; try++ {
		left := o.class.Deadline - time.Since(began)
		if try > s.options.Retries || left <= 20*time.Millisecond {
			break
		}
		limit := min(left, time.Duration(o.deadlineShare*float64(o.class.Deadline)))
		last = s.attempt(o, try, limit)
		s.mu.Lock()
		s.stats.Attempts++
		s.mu.Unlock()
		if !s.mayRetry(o, last, time.Since(began)) {
			break
		}
		wait := max(last.retryAfter, s.options.RetryDelay)
		if wait >= o.class.Deadline-time.Since(began) {
			break // by then its time is up
		}
		select {
		case <-time.After(wait):
		case <-s.ctx.Done():
		}
		o.gateway = (o.member.FirstGateway + (o.gateway-o.member.FirstGateway+len(s.options.Gateways)+1)%len(s.options.Gateways)%o.member.GatewayCount) % len(s.options.Gateways)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	took := time.Since(began)
	switch last.kind {
	case "served":
		s.stats.Served++
		if took <= o.class.LatencyObjective {
			s.stats.WithinObjective++
		}
		s.stats.Latency.RecordValue(max(1, took.Microseconds()))
	case "refused":
		s.stats.Refused++
		s.stats.Reasons[last.reason]++
	case "failed":
		s.stats.Failed++
	case "unreachable":
		s.stats.Unreachable++
	default:
		s.stats.Lost++
	}
}

// again reports whether one more try is harmless: always after a refusal or where no gateway took the order;
// else only for what may run twice, or whose repeats the nodes still drop.
func (s *Client) mayRetry(o *request, a result, since time.Duration) bool {
	switch {
	case a.kind == "served" || a.kind == "invalid":
		return false
	case a.kind == "refused" || a.kind == "unreachable":
		return true
	case o.class.Idempotency == decide.Idempotent:
		return true
	case o.class.Idempotency == decide.IdempotentByKey && o.class.DedupScope == decide.DedupInFleet:
		return since < o.class.DedupWindow/2
	}
	return false
}

func (s *Client) attempt(o *request, n int, limit time.Duration) result {
	x, err := s.session(o)
	if err != nil {
		return result{kind: "unreachable"}
	}
	label := fmt.Sprintf("%d.%d", o.number, n)
	got := make(chan result, 1)
	s.mu.Lock()
	marked := s.fault.UseReservation[o.member.Name] && o.number%2 == 0
	s.mu.Unlock()
	p := fmt.Appendf(nil, `{"reserved":%t,"units":%d,"deadline_ms":%.3f,"at_ms":%.3f,"key":"%s","again":%t,"work":{"try":"%s","true_units":%d}}`,
		marked, o.units, limit.Seconds()*1000, float64(s.options.Log.Now())/1e6, o.key, n > 0, label, o.actualUnits)
	rec := invariant.Record{Kind: invariant.Call, Gateway: o.gateway, Session: x.name, CallID: label, Member: o.member.Name, Class: o.class.Name,
		Key: o.key, Units: float64(o.units), At: s.options.Log.Now()}
	rec.Deadline = rec.At + limit
	if !x.call(label, o.class.Name, p, rec, got) {
		return result{kind: "unreachable"}
	}
	// A client gives a try up some time after its deadline; the judge sees what comes later.
	select {
	case a := <-got:
		return a
	case <-time.After(limit + 500*time.Millisecond):
		return result{kind: "lost"}
	}
}

// session finds or opens the member's session with a gateway.
func (s *Client) session(o *request) (*session, error) {
	key := o.member.Name + "/" + strconv.Itoa(o.gateway)
	s.mu.Lock()
	x := s.sessions[key]
	if x == nil {
		s.lastNumber++
		x = &session{client: s, rank: o.gateway, name: fmt.Sprintf("%s/%d", key, s.lastNumber), calls: map[string]chan result{}, ready: make(chan struct{})}
		s.sessions[key] = x
		go x.run(key, o.member.Key)
	}
	s.mu.Unlock()
	<-x.ready
	return x, x.err
}

// session is one WebSocket connection.
type session struct {
	client *Client
	rank   int
	name   string
	ready  chan struct{}
	err    error
	ws     *wsconn.Conn

	mu      sync.Mutex
	calls   map[string]chan result
	leaving bool
	closed  bool
}

func (x *session) run(key, secret string) {
	ctx, cancel := context.WithTimeout(x.client.ctx, time.Second)
	x.ws, x.err = wsconn.Dial(ctx, x.client.options.Gateways[x.rank], &websocket.Request{Host: x.client.options.Gateways[x.rank], Path: "/",
		Protocol: "jsonrpc", Header: map[string]string{"Authorization": "Bearer " + secret}}, wsconn.Options{ReadBuffer: 4 << 10})
	cancel()
	close(x.ready)
	if x.err == nil {
		x.read()
	}
	x.client.mu.Lock()
	if x.client.sessions[key] == x {
		delete(x.client.sessions, key)
	}
	x.client.mu.Unlock()
}

func (x *session) read() {
	code := websocket.CodeAbnormal
	for {
		data, err := x.ws.Read()
		if err != nil {
			var pc *wsconn.PeerClosedError
			if errors.As(err, &pc) {
				code = pc.Code
			}
			break
		}
		items, _, bad := jsonrpc.Parse(data, 4096)
		if bad != nil {
			x.client.options.Log.Add(invariant.Record{Kind: invariant.Answer, Session: x.name, Gateway: x.rank, Answer: "malformed"})
			continue
		}
		for i := range items {
			x.handleResponse(&items[i])
		}
	}
	x.mu.Lock()
	if !x.leaving {
		x.client.options.Log.Add(invariant.Record{Kind: invariant.SessionClosed, Session: x.name, Gateway: x.rank, Code: code})
	}
	x.closed = true
	calls := x.calls
	x.calls = nil
	x.mu.Unlock()
	for _, ch := range calls {
		ch <- result{kind: "lost"}
	}
}

// kindOf reads how an answer ends its call.
func resultOf(it *jsonrpc.Message) result {
	if it.Err == nil {
		return result{kind: "served"}
	}
	switch it.Err.Code {
	case jsonrpc.CodeRejected:
		var d struct {
			Reason string  `json:"reason"`
			Wait   float64 `json:"retry_after_ms"`
		}
		json.Unmarshal(it.Err.Data, &d)
		return result{"refused", d.Reason, time.Duration(d.Wait * float64(time.Millisecond))}
	case jsonrpc.CodeFailed:
		return result{kind: "failed"}
	}
	return result{kind: "invalid", reason: it.Err.Message}
}

func (x *session) handleResponse(it *jsonrpc.Message) {
	a := resultOf(it)
	label := strings.Trim(string(it.ID), `"`)
	x.mu.Lock()
	ch := x.calls[label]
	delete(x.calls, label)
	x.mu.Unlock()
	x.client.options.Log.Add(invariant.Record{Kind: invariant.Answer, Session: x.name, Gateway: x.rank, CallID: label, Answer: a.kind, State: a.reason, Duration: a.retryAfter})
	if ch != nil {
		ch <- a
	}
}

func (x *session) call(label, method string, params []byte, rec invariant.Record, got chan result) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.leaving || x.closed {
		return false
	}
	x.calls[label] = got
	// Recorded first: an answer can't come before its call, and one that is not written is withdrawn below.
	x.client.options.Log.Add(rec)
	if x.ws.Send(jsonrpc.AppendCall(nil, jsonrpc.ID(strconv.Quote(label)), method, params)) != nil {
		delete(x.calls, label)
		x.client.options.Log.Add(invariant.Record{Kind: invariant.Cancelled, Session: x.name, Gateway: x.rank, CallID: label})
		return false
	}
	return true
}

// leave closes the session by the client's own wish.
func (x *session) leave() {
	<-x.ready
	x.mu.Lock()
	x.leaving = true
	x.mu.Unlock()
	if x.err == nil {
		x.client.options.Log.Add(invariant.Record{Kind: invariant.ClientLeft, Session: x.name, Gateway: x.rank})
		x.ws.Close(websocket.CodeNormal, "")
	}
}
