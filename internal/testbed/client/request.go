package client

import (
	"fmt"
	"time"

	"winghatch/decide"
	"winghatch/internal/invariant"
)

const (
	// minRemaining is the time before its deadline at which a request is no longer attempted.
	minRemaining = 20 * time.Millisecond

	// lateResponseWait is the time after the deadline of an attempt at which the client stops waiting for its
	// response. A later response is still recorded.
	lateResponseWait = 500 * time.Millisecond
)

// request is a request with all its attempts. It is used only by the goroutine that runs it.
type request struct {
	number        int
	member        *Member
	class         *Class
	units         int
	actualUnits   int     // units that the work turns out to cost
	deadlineShare float64 // timeout of an attempt as a fraction of the class's deadline
	gateway       int     // rank of the gateway for the next attempt
	key           string  // idempotency key
}

// resultKind is the way an attempt ended. Its values are stored in the records of a run.
type resultKind string

const (
	served      resultKind = "served"
	rejected    resultKind = "refused"
	failed      resultKind = "failed"
	invalid     resultKind = "invalid"     // the gateway reported the request as invalid
	lost        resultKind = "lost"        // the session broke or no response arrived in time
	unreachable resultKind = "unreachable" // no session could be opened
)

type result struct {
	kind       resultKind
	reason     string
	retryAfter time.Duration
}

// drawNext returns a random request and the random time to wait before sending it.
func (c *Client) drawNext() (interval time.Duration, r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rate := c.options.Rate
	if c.fault.RateFactor > 0 {
		rate = c.options.Rate * c.fault.RateFactor
	}
	interval = time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
	return interval, c.drawRequest()
}

// drawRequest returns a random request. The caller must hold c.mu.
func (c *Client) drawRequest() *request {
	r := &request{deadlineShare: 0.5 + 0.5*c.rng.Float64()}
	c.lastNumber++
	r.number = c.lastNumber
	r.key = fmt.Sprintf("k%d", r.number)
	r.member = c.drawMember()
	r.class = c.drawClass()
	maxUnits := max(1, r.class.MaxUnits)
	r.units = 1 + c.rng.IntN(maxUnits)
	r.actualUnits = min(maxUnits, max(1, r.units+c.rng.IntN(3)-1))
	r.gateway = r.member.FirstGateway
	if !c.fault.FirstGatewayOnly[r.member.Name] {
		r.gateway = (r.member.FirstGateway + c.rng.IntN(r.member.GatewayCount)) % len(c.options.Gateways)
	}
	return r
}

// drawMember returns a random member, chosen by weight. The caller must hold c.mu.
func (c *Client) drawMember() (m *Member) {
	total := 0.0
	for i := range c.options.Members {
		total += c.weight(&c.options.Members[i])
	}
	at := c.rng.Float64() * total
	for i := range c.options.Members {
		m = &c.options.Members[i]
		if at -= c.weight(m); at < 0 {
			break
		}
	}
	return m
}

// weight returns the current weight of a member. The caller must hold c.mu.
func (c *Client) weight(m *Member) float64 {
	w := m.Weight
	if w == 0 {
		w = 1
	}
	if factor, ok := c.fault.WeightFactor[m.Name]; ok {
		w *= factor
	}
	return w
}

// drawClass returns a random class, chosen by share. The caller must hold c.mu.
func (c *Client) drawClass() (k *Class) {
	at := c.rng.Float64()
	for i := range c.options.Classes {
		k = &c.options.Classes[i]
		if at -= k.Share; at < 0 {
			break
		}
	}
	return k
}

// run sends a request, retries it while that is safe and time remains, and counts the final result.
func (c *Client) run(r *request) {
	start := time.Now()
	last := result{}
	for attempt := 0; ; attempt++ {
		remaining := r.class.Deadline - time.Since(start)
		if attempt > c.options.Retries || remaining <= minRemaining {
			break
		}
		timeout := min(remaining, time.Duration(r.deadlineShare*float64(r.class.Deadline)))
		last = c.attempt(r, attempt, timeout)
		if !r.mayRetry(last, time.Since(start)) {
			break
		}
		delay := max(last.retryAfter, c.options.RetryDelay)
		if delay >= r.class.Deadline-time.Since(start) {
			break
		}
		select {
		case <-time.After(delay):
		case <-c.ctx.Done():
		}
		r.gateway = r.nextGateway(len(c.options.Gateways))
	}
	c.count(r, last, time.Since(start))
}

// nextGateway returns the gateway that follows the last one in the cycle of the member's gateways.
func (r *request) nextGateway(gateways int) int {
	first := r.member.FirstGateway
	next := (r.gateway - first + gateways + 1) % gateways % r.member.GatewayCount
	return (first + next) % gateways
}

// count counts the final result of a request. latency is measured from its first attempt.
func (c *Client) count(r *request, last result, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Requests++
	switch last.kind {
	case served:
		c.stats.Served++
		if latency <= r.class.LatencyObjective {
			c.stats.WithinObjective++
		}
		c.stats.Latency.RecordValue(max(1, latency.Microseconds()))
	case rejected:
		c.stats.Rejected++
		c.stats.Reasons[last.reason]++
	case failed:
		c.stats.Failed++
	case unreachable:
		c.stats.Unreachable++
	default:
		c.stats.Lost++
	}
}

// mayRetry reports whether a retry is safe. It is safe after a rejection and if no gateway accepted the
// request. Otherwise it is safe only if the work may run twice, or if all servers of the fleet still
// deduplicate its idempotency key; half the deduplication window is kept as a margin.
func (r *request) mayRetry(last result, sinceStart time.Duration) bool {
	switch {
	case last.kind == served || last.kind == invalid:
		return false
	case last.kind == rejected || last.kind == unreachable:
		return true
	case r.class.Idempotency == decide.Idempotent:
		return true
	case r.class.Idempotency == decide.IdempotentByKey && r.class.DedupScope == decide.DedupInFleet:
		return sinceStart < r.class.DedupWindow/2
	}
	return false
}

// attempt sends a request once and waits for the response until lateResponseWait after the timeout.
func (c *Client) attempt(r *request, attempt int, timeout time.Duration) result {
	defer c.countAttempt()
	s, err := c.session(r)
	if err != nil {
		return result{kind: unreachable}
	}
	callID := fmt.Sprintf("%d.%d", r.number, attempt)
	params := c.callParams(r, callID, attempt > 0, timeout)
	now := c.options.Log.Now()
	record := invariant.Record{
		At:       now,
		Kind:     invariant.Call,
		Gateway:  r.gateway,
		Session:  s.name,
		CallID:   callID,
		Member:   r.member.Name,
		Class:    r.class.Name,
		Key:      r.key,
		Units:    float64(r.units),
		Deadline: now + timeout,
	}
	got := make(chan result, 1)
	if !s.call(callID, r.class.Name, params, record, got) {
		return result{kind: unreachable}
	}
	select {
	case res := <-got:
		return res
	case <-time.After(timeout + lateResponseWait):
		return result{kind: lost}
	}
}

func (c *Client) countAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Attempts++
}

// callParams returns the params object of a call. Of a member in UseReservation, every second request uses
// reserved units.
func (c *Client) callParams(r *request, callID string, isRetry bool, timeout time.Duration) []byte {
	c.mu.Lock()
	reserved := c.fault.UseReservation[r.member.Name] && r.number%2 == 0
	c.mu.Unlock()
	return fmt.Appendf(nil, `{"reserved":%t,"units":%d,"deadline_ms":%.3f,"at_ms":%.3f,"key":"%s",`+
		`"again":%t,"work":{"try":"%s","true_units":%d}}`,
		reserved, r.units, timeout.Seconds()*1000, float64(c.options.Log.Now())/1e6, r.key, isRetry,
		callID, r.actualUnits)
}
