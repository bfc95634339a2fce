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
	Name, Key     string
	First, Spread int
	Weight        float64 // of all orders; 0: 1
}

// Class is a kind of order.
type Class struct {
	Name     string
	Share    float64
	Effect   decide.Idempotency
	Group    decide.DedupScope
	Window   time.Duration
	Aim      time.Duration
	Deadline time.Duration
	MaxUnits int
}

// Options describe a school.
type Options struct {
	Gateways []string // addresses by rank
	Members  []Member
	Classes  []Class
	Rate     float64 // orders a second
	Retries  int
	Wait     time.Duration // before a try again, where nothing longer is advised
	Seed     uint64
	Log      *invariant.Log
}

// Trouble is what the school does beyond its usual.
type Trouble struct {
	Burst  float64            // times the usual rate; 0: 1
	Weight map[string]float64 // times a member's weight
	Marked map[string]bool    // members half of whose tries use reserved units
	Gather map[string]bool    // members that use only the first of their gateways
}

// Stats are an account of orders; an order is one however often it is tried.
type Stats struct {
	Asked, Served, InAim, Refused, Failed, Lost int64
	Tries, Unreachable                          int64
	Reasons                                     map[string]int64
	Latency                                     *hdrhistogram.Histogram // of served orders, µs
}

// School is a running one.
type School struct {
	o    Options
	mu   sync.Mutex
	rng  *rand.Rand
	t    Trouble
	st   Stats
	sess map[string]*session
	nos  int
	wg   sync.WaitGroup
	ctx  context.Context
	shut context.CancelFunc
}

// New returns a school that Run starts.
func New(o Options) *School {
	if o.Log == nil {
		o.Log = invariant.Discard()
	}
	ctx, shut := context.WithCancel(context.Background())
	return &School{o: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), sess: map[string]*session{}, ctx: ctx, shut: shut,
		st: Stats{Reasons: map[string]int64{}, Latency: hdrhistogram.New(1, 60_000_000, 3)}}
}

// Set changes what the school does.
func (s *School) Set(f func(*Trouble)) {
	s.mu.Lock()
	f(&s.t)
	s.mu.Unlock()
}

// Stats reads the account.
func (s *School) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.st
	st.Reasons = map[string]int64{}
	for k, v := range s.st.Reasons {
		st.Reasons[k] = v
	}
	st.Latency = hdrhistogram.Import(s.st.Latency.Export())
	return st
}

// Run sends orders until the context ends, then waits for what is open. Orders that an earlier one holds up
// are sent late rather than left out.
func (s *School) Run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		s.mu.Lock()
		rate := s.o.Rate * max(1, s.t.Burst)
		if s.t.Burst > 0 && s.t.Burst < 1 {
			rate = s.o.Rate * s.t.Burst
		}
		next = next.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		o := s.order()
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
		go func() { defer s.wg.Done(); s.serve(o) }()
	}
	s.wg.Wait()
}

// Close leaves all sessions.
func (s *School) Close() {
	s.shut()
	s.Reconnect()
}

// Reconnect leaves every session and lets new ones come at one stroke.
func (s *School) Reconnect() {
	s.mu.Lock()
	all := s.sess
	s.sess = map[string]*session{}
	s.mu.Unlock()
	for _, x := range all {
		x.leave()
	}
}

type order struct {
	no     int
	member *Member
	class  *Class
	units  int
	truth  int
	part   float64 // of the deadline that a try is given
	rank   int
	key    string
}

// order draws one; s is locked.
func (s *School) order() *order {
	o := &order{part: 0.5 + 0.5*s.rng.Float64()}
	s.nos++
	o.no = s.nos
	total := 0.0
	weight := func(m *Member) float64 {
		w := m.Weight
		if w == 0 {
			w = 1
		}
		if f, ok := s.t.Weight[m.Name]; ok {
			w *= f
		}
		return w
	}
	for i := range s.o.Members {
		total += weight(&s.o.Members[i])
	}
	at := s.rng.Float64() * total
	for i := range s.o.Members {
		o.member = &s.o.Members[i]
		if at -= weight(o.member); at < 0 {
			break
		}
	}
	at = s.rng.Float64()
	for i := range s.o.Classes {
		o.class = &s.o.Classes[i]
		if at -= o.class.Share; at < 0 {
			break
		}
	}
	o.units = 1 + s.rng.IntN(max(1, o.class.MaxUnits))
	o.truth = min(max(1, o.class.MaxUnits), max(1, o.units+s.rng.IntN(3)-1))
	o.key = fmt.Sprintf("k%d", o.no)
	if s.t.Gather[o.member.Name] {
		o.rank = o.member.First
	} else {
		o.rank = (o.member.First + s.rng.IntN(o.member.Spread)) % len(s.o.Gateways)
	}
	return o
}

// answer is how a try ended.
type answer struct {
	kind   string // served, refused, failed, invalid, lost (the session broke) or unreachable
	reason string
	wait   time.Duration
}

// serve tries an order until it is answered for good.
func (s *School) serve(o *order) {
	began := time.Now()
	last := answer{}
	for try := 0; ; try++ {
		left := o.class.Deadline - time.Since(began)
		if try > s.o.Retries || left <= 20*time.Millisecond {
			break
		}
		limit := min(left, time.Duration(o.part*float64(o.class.Deadline)))
		last = s.try(o, try, limit)
		s.mu.Lock()
		s.st.Tries++
		s.mu.Unlock()
		if !s.again(o, last, time.Since(began)) {
			break
		}
		wait := max(last.wait, s.o.Wait)
		if wait >= o.class.Deadline-time.Since(began) {
			break // by then its time is up
		}
		select {
		case <-time.After(wait):
		case <-s.ctx.Done():
		}
		o.rank = (o.member.First + (o.rank-o.member.First+len(s.o.Gateways)+1)%len(s.o.Gateways)%o.member.Spread) % len(s.o.Gateways)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.st.Asked++
	took := time.Since(began)
	switch last.kind {
	case "served":
		s.st.Served++
		if took <= o.class.Aim {
			s.st.InAim++
		}
		s.st.Latency.RecordValue(max(1, took.Microseconds()))
	case "refused":
		s.st.Refused++
		s.st.Reasons[last.reason]++
	case "failed":
		s.st.Failed++
	case "unreachable":
		s.st.Unreachable++
	default:
		s.st.Lost++
	}
}

// again reports whether one more try is harmless: always after a refusal or where no gateway took the order;
// else only for what may run twice, or whose repeats the nodes still drop.
func (s *School) again(o *order, a answer, since time.Duration) bool {
	switch {
	case a.kind == "served" || a.kind == "invalid":
		return false
	case a.kind == "refused" || a.kind == "unreachable":
		return true
	case o.class.Effect == decide.Idempotent:
		return true
	case o.class.Effect == decide.IdempotentByKey && o.class.Group == decide.DedupInFleet:
		return since < o.class.Window/2
	}
	return false
}

func (s *School) try(o *order, n int, limit time.Duration) answer {
	x, err := s.session(o)
	if err != nil {
		return answer{kind: "unreachable"}
	}
	label := fmt.Sprintf("%d.%d", o.no, n)
	got := make(chan answer, 1)
	s.mu.Lock()
	marked := s.t.Marked[o.member.Name] && o.no%2 == 0
	s.mu.Unlock()
	p := fmt.Appendf(nil, `{"reserved":%t,"units":%d,"deadline_ms":%.3f,"at_ms":%.3f,"key":"%s","again":%t,"work":{"try":"%s","true_units":%d}}`,
		marked, o.units, limit.Seconds()*1000, float64(s.o.Log.Now())/1e6, o.key, n > 0, label, o.truth)
	rec := invariant.Record{K: invariant.Call, Gateway: o.rank, Session: x.name, Try: label, Member: o.member.Name, Class: o.class.Name,
		Key: o.key, Units: float64(o.units), T: s.o.Log.Now()}
	rec.Deadline = rec.T + limit
	if !x.call(label, o.class.Name, p, rec, got) {
		return answer{kind: "unreachable"}
	}
	// A client gives a try up some time after its deadline; the judge sees what comes later.
	select {
	case a := <-got:
		return a
	case <-time.After(limit + 500*time.Millisecond):
		return answer{kind: "lost"}
	}
}

// session finds or opens the member's session with a gateway.
func (s *School) session(o *order) (*session, error) {
	key := o.member.Name + "/" + strconv.Itoa(o.rank)
	s.mu.Lock()
	x := s.sess[key]
	if x == nil {
		s.nos++
		x = &session{s: s, rank: o.rank, name: fmt.Sprintf("%s/%d", key, s.nos), calls: map[string]chan answer{}, ready: make(chan struct{})}
		s.sess[key] = x
		go x.run(key, o.member.Key)
	}
	s.mu.Unlock()
	<-x.ready
	return x, x.err
}

// session is one WebSocket connection.
type session struct {
	s     *School
	rank  int
	name  string
	ready chan struct{}
	err   error
	link  *wsconn.Conn

	mu    sync.Mutex
	calls map[string]chan answer
	left  bool
	down  bool
}

func (x *session) run(key, secret string) {
	ctx, cancel := context.WithTimeout(x.s.ctx, time.Second)
	x.link, x.err = wsconn.Dial(ctx, x.s.o.Gateways[x.rank], &websocket.Request{Host: x.s.o.Gateways[x.rank], Path: "/",
		Protocol: "jsonrpc", Header: map[string]string{"Authorization": "Bearer " + secret}}, wsconn.Options{ReadBuffer: 4 << 10})
	cancel()
	close(x.ready)
	if x.err == nil {
		x.read()
	}
	x.s.mu.Lock()
	if x.s.sess[key] == x {
		delete(x.s.sess, key)
	}
	x.s.mu.Unlock()
}

func (x *session) read() {
	code := websocket.CodeAbnormal
	for {
		data, err := x.link.Read()
		if err != nil {
			var pc *wsconn.PeerClosed
			if errors.As(err, &pc) {
				code = pc.Code
			}
			break
		}
		items, _, bad := jsonrpc.Parse(data, 4096)
		if bad != nil {
			x.s.o.Log.Add(invariant.Record{K: invariant.Answer, Session: x.name, Gateway: x.rank, Answer: "malformed"})
			continue
		}
		for i := range items {
			x.answer(&items[i])
		}
	}
	x.mu.Lock()
	if !x.left {
		x.s.o.Log.Add(invariant.Record{K: invariant.Down, Session: x.name, Gateway: x.rank, Code: code})
	}
	x.down = true
	calls := x.calls
	x.calls = nil
	x.mu.Unlock()
	for _, ch := range calls {
		ch <- answer{kind: "lost"}
	}
}

// kindOf reads how an answer ends its call.
func kindOf(it *jsonrpc.Item) answer {
	if it.Err == nil {
		return answer{kind: "served"}
	}
	switch it.Err.Code {
	case jsonrpc.CodeRefused:
		var d struct {
			Reason string  `json:"reason"`
			Wait   float64 `json:"retry_after_ms"`
		}
		json.Unmarshal(it.Err.Data, &d)
		return answer{"refused", d.Reason, time.Duration(d.Wait * float64(time.Millisecond))}
	case jsonrpc.CodeFailed:
		return answer{kind: "failed"}
	}
	return answer{kind: "invalid", reason: it.Err.Message}
}

func (x *session) answer(it *jsonrpc.Item) {
	a := kindOf(it)
	label := strings.Trim(string(it.ID), `"`)
	x.mu.Lock()
	ch := x.calls[label]
	delete(x.calls, label)
	x.mu.Unlock()
	x.s.o.Log.Add(invariant.Record{K: invariant.Answer, Session: x.name, Gateway: x.rank, Try: label, Answer: a.kind, State: a.reason, For: a.wait})
	if ch != nil {
		ch <- a
	}
}

func (x *session) call(label, method string, params []byte, rec invariant.Record, got chan answer) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.left || x.down {
		return false
	}
	x.calls[label] = got
	// Recorded first: an answer can't come before its call, and one that is not written is withdrawn below.
	x.s.o.Log.Add(rec)
	if x.link.Send(jsonrpc.AppendCall(nil, jsonrpc.ID(strconv.Quote(label)), method, params)) != nil {
		delete(x.calls, label)
		x.s.o.Log.Add(invariant.Record{K: invariant.Withdrawn, Session: x.name, Gateway: x.rank, Try: label})
		return false
	}
	return true
}

// leave closes the session by the client's own wish.
func (x *session) leave() {
	<-x.ready
	x.mu.Lock()
	x.left = true
	x.mu.Unlock()
	if x.err == nil {
		x.s.o.Log.Add(invariant.Record{K: invariant.Leave, Session: x.name, Gateway: x.rank})
		x.link.Close(websocket.CodeNormal, "")
	}
}
