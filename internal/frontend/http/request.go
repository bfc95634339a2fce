package http

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"winghatch/decide"
	"winghatch/internal/frontend"
	"winghatch/internal/http1"
)

// Rules is what the settings say of requests that can be used.
type Rules struct {
	classes  map[string]decide.Class
	plans    map[string]bool
	gateways int
	maxUnits float64 // of one request at most; 0: any number
}

// NewRules takes them from the settings.
func NewRules(c *decide.Config) *Rules {
	r := &Rules{classes: map[string]decide.Class{}, plans: map[string]bool{}, gateways: c.Gateways, maxUnits: c.MaxUnits}
	for _, k := range c.Classes {
		r.classes[k.Name] = k
	}
	for _, p := range c.Plans {
		r.plans[p.Name] = true
	}
	return r
}

// customers is the bound on a customer's number.
const customerLimit = 1 << 33

// fault is a field that can't be used.
func requestError(status int, form string, args ...any) error {
	return &http1.Error{Status: status, Reason: fmt.Sprintf(form, args...)}
}

// one reads a field that must come just once, of visible characters and not too long.
func singleField(q *http1.Request, name string, most int) (string, error) {
	v, n := q.Get(name)
	if n != 1 {
		return "", requestError(400, "%d fields %s, want one", n, name)
	}
	if v == "" || len(v) > most || strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return "", requestError(400, "%s is %.40q, want 1 to %d visible characters", name, v, most)
	}
	return v, nil
}

// parsed is a request that can be used.
type parsedRequest struct {
	txn, method, target, idempotencyKey, contentType string
	body                                             []byte
}

// read checks a whole request against the settings, before the core hears of it: what can't be used must neither
// charge nor make a customer.
func (r *Rules) parse(q *http1.Request, body []byte, now time.Duration) (*frontend.Request, *parsedRequest, error) {
	p := &parsedRequest{method: q.A, target: q.B, body: body}
	var err error
	if p.txn, err = singleField(q, "X-Txn", 64); err != nil {
		return nil, nil, err
	}
	name, err := singleField(q, "X-Lane", 128)
	if err != nil {
		return nil, nil, err
	}
	class, ok := r.classes[name]
	if !ok {
		return nil, nil, requestError(400, "X-Lane: no class %.40q", name)
	}
	plan, err := singleField(q, "X-Plan", 128)
	if err != nil {
		return nil, nil, err
	}
	if !r.plans[plan] {
		return nil, nil, requestError(400, "X-Plan: no plan %.40q", plan)
	}
	who, err := singleField(q, "X-Customer", 16)
	if err != nil {
		return nil, nil, err
	}
	if n, err := strconv.ParseUint(who, 16, 64); err != nil || len(who) != 16 || n >= customerLimit || who != strings.ToLower(who) {
		return nil, nil, requestError(400, "X-Customer is %.40q, want 16 hex digits of a number under 2^33", who)
	}
	left, err := singleField(q, "X-Remaining-Ms", 12)
	if err != nil {
		return nil, nil, err
	}
	ms, ok := parseDigits(left)
	if most := math.Ceil(float64(class.Deadline) / float64(time.Millisecond)); !ok || ms < 1 || ms > most {
		return nil, nil, requestError(400, "X-Remaining-Ms is %.40q, want a whole number of 1 to %g", left, most)
	}
	c := &frontend.Request{Class: name, Plan: plan, Customer: who, Deadline: now + time.Duration(ms)*time.Millisecond,
		Mutates: class.Idempotency != decide.Idempotent}
	if c.Units, c.GatewayCount, c.FirstGateway, err = r.parseQuota(q); err != nil {
		return nil, nil, err
	}
	if again, n := q.Get("X-Resent"); n > 0 {
		c.IsRetry = again == "1"
	}
	return c, p, p.checkClass(q, &class)
}

// fits checks method, body and key against what the class's effect asks for.
func (p *parsedRequest) checkClass(q *http1.Request, class *decide.Class) error {
	_, keys := q.Get("Idempotency-Key")
	_, types := q.Get("Content-Type")
	if types == 1 {
		p.contentType, _ = q.Get("Content-Type")
	}
	want := "POST"
	if class.Idempotency == decide.Idempotent {
		want = "GET"
	}
	if p.method != want {
		return requestError(405, "method %.20q for class %q, want %s", p.method, class.Name, want)
	}
	if want == "GET" && len(p.body) > 0 {
		return requestError(400, "a body of %d bytes with GET", len(p.body))
	}
	if class.Idempotency != decide.IdempotentByKey {
		if keys > 0 {
			return requestError(400, "Idempotency-Key with class %q, which has none", class.Name)
		}
		return nil
	}
	var err error
	p.idempotencyKey, err = singleField(q, "Idempotency-Key", 128)
	return err
}

// digits reads a whole number of a few digits.
func parseDigits(s string) (float64, bool) {
	if s == "" || len(s) > 12 {
		return 0, false
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil
}

// quota reads "units=2,spread=3,first=1". What else it may hold some day is no concern of ours.
func (r *Rules) parseQuota(q *http1.Request) (units float64, spread, first int, err error) {
	text, err := singleField(q, "X-Quota", 256)
	if err != nil {
		return 0, 0, 0, err
	}
	got := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, v, ok := strings.Cut(part, "=")
		if !ok {
			return 0, 0, 0, requestError(400, "X-Quota: %.40q, want name=value", part)
		}
		if name != "units" && name != "spread" && name != "first" {
			continue
		}
		whole, frac, point := strings.Cut(v, ".")
		n, ok := parseDigits(whole)
		if point && ok && name == "units" {
			if _, ok = parseDigits(frac); ok {
				n, err = strconv.ParseFloat(v, 64)
				ok = err == nil
			}
		} else if point {
			ok = false
		}
		if _, twice := got[name]; !ok || twice {
			return 0, 0, 0, requestError(400, "X-Quota: %s is %.40q, want one number", name, v)
		}
		got[name] = n
	}
	if len(got) != 3 {
		return 0, 0, 0, requestError(400, "X-Quota is %.40q, want units, spread and first", text)
	}
	if u := got["units"]; u <= 0 || r.maxUnits > 0 && u > r.maxUnits {
		return 0, 0, 0, requestError(400, "X-Quota: units is %g, want more than 0 and %g at most", u, r.maxUnits)
	}
	if s := got["spread"]; s < 1 || s > float64(r.gateways) {
		return 0, 0, 0, requestError(400, "X-Quota: spread is %g, want 1 to %d", s, r.gateways)
	}
	if f := got["first"]; f >= float64(r.gateways) {
		return 0, 0, 0, requestError(400, "X-Quota: first is %g, want 0 to %d", f, r.gateways-1)
	}
	return got["units"], int(got["spread"]), int(got["first"]), nil
}

// form makes the bytes of an attempt: what the client sent goes on unchanged, with the time that is left.
func (p *parsedRequest) encode(left time.Duration) []byte {
	b := make([]byte, 0, 192+len(p.target)+len(p.txn)+len(p.idempotencyKey)+len(p.body))
	b = append(append(append(append(b, p.method...), ' '), p.target...), " HTTP/1.1\r\nHost: service.internal\r\nX-Txn: "...)
	b = append(append(b, p.txn...), "\r\nX-Remaining-Ms: "...)
	b = strconv.AppendInt(b, max(0, left.Milliseconds()), 10)
	if p.idempotencyKey != "" {
		b = append(append(b, "\r\nIdempotency-Key: "...), p.idempotencyKey...)
	}
	if p.contentType != "" {
		b = append(append(b, "\r\nContent-Type: "...), p.contentType...)
	}
	if p.method != "GET" {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(p.body)), 10)
	}
	return append(append(b, "\r\n\r\n"...), p.body...)
}
