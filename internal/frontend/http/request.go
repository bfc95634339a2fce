package http

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"winghatch/decide"
	"winghatch/internal/frontend"
	"winghatch/internal/http1"
)

// Bounds of fields, which are checked before the core keeps anything of a request.
const (
	maxTxnBytes      = 64  // lengths are in bytes
	maxNameBytes     = 128 // of a class, a plan or an idempotency key
	maxQuotaBytes    = 256
	maxNumberBytes   = 12
	customerIDBytes  = 16      // hex digits
	customerIDsBelow = 1 << 33 // the customer's number
)

// Rules is what the settings say of requests: which classes and plans there are, and the bounds of X-Quota.
type Rules struct {
	classes  map[string]decide.Class
	plans    map[string]bool
	gateways int
	maxUnits float64 // of one request; 0: any number
}

// NewRules takes the rules from the settings.
func NewRules(c *decide.Config) *Rules {
	r := &Rules{
		classes:  map[string]decide.Class{},
		plans:    map[string]bool{},
		gateways: c.Gateways,
		maxUnits: c.MaxUnits,
	}
	for _, class := range c.Classes {
		r.classes[class.Name] = class
	}
	for _, plan := range c.Plans {
		r.plans[plan.Name] = true
	}
	return r
}

// requestError is an error that is answered with a status and its text.
func requestError(status int, format string, args ...any) error {
	return &http1.Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) error {
	return requestError(http.StatusBadRequest, format, args...)
}

// parsedRequest is the part of a valid request that is forwarded to servers.
type parsedRequest struct {
	txn, method, target, idempotencyKey, contentType string
	body                                             []byte
}

// parse checks a complete request against the rules, before the core has it: an invalid one must neither charge a
// quota nor make the core keep state for a customer. Errors are *http1.Error. arrivedAt is when the request's last
// byte arrived, from which its remaining time runs.
func (r *Rules) parse(q *http1.Request, body []byte, arrivedAt time.Duration) (
	*frontend.Request, *parsedRequest, error) {
	parsed := &parsedRequest{method: q.Method, target: q.Target, body: body}
	var err error
	if parsed.txn, err = singleField(q, "X-Txn", maxTxnBytes); err != nil {
		return nil, nil, err
	}
	className, err := singleField(q, "X-Lane", maxNameBytes)
	if err != nil {
		return nil, nil, err
	}
	class, ok := r.classes[className]
	if !ok {
		return nil, nil, badRequest("X-Lane: no class %.40q", className)
	}
	plan, err := singleField(q, "X-Plan", maxNameBytes)
	if err != nil {
		return nil, nil, err
	}
	if !r.plans[plan] {
		return nil, nil, badRequest("X-Plan: no plan %.40q", plan)
	}
	customer, err := parseCustomer(q)
	if err != nil {
		return nil, nil, err
	}
	remaining, err := parseRemaining(q, class.Deadline)
	if err != nil {
		return nil, nil, err
	}
	request := &frontend.Request{
		Class:    className,
		Plan:     plan,
		Customer: customer,
		Deadline: arrivedAt + remaining,
		Mutates:  class.Idempotency != decide.Idempotent,
	}
	if request.Units, request.GatewayCount, request.FirstGateway, err = r.parseQuota(q); err != nil {
		return nil, nil, err
	}
	if resent, n := q.Get("X-Resent"); n > 0 {
		request.IsRetry = resent == "1"
	}
	return request, parsed, parsed.checkClass(q, &class)
}

// singleField reads a field that must occur once, of visible ASCII characters and of bounded length.
func singleField(q *http1.Request, name string, maxBytes int) (string, error) {
	value, n := q.Get(name)
	if n != 1 {
		return "", badRequest("%d fields %s, want one", n, name)
	}
	if value == "" || len(value) > maxBytes || strings.ContainsFunc(value, isInvisible) {
		return "", badRequest("%s is %.40q, want 1 to %d visible characters", name, value, maxBytes)
	}
	return value, nil
}

func isInvisible(c rune) bool { return c <= ' ' || c > '~' }

func parseCustomer(q *http1.Request) (string, error) {
	id, err := singleField(q, "X-Customer", customerIDBytes)
	if err != nil {
		return "", err
	}
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil || len(id) != customerIDBytes || n >= customerIDsBelow || id != strings.ToLower(id) {
		return "", badRequest("X-Customer is %.40q, want 16 hex digits of a number under 2^33", id)
	}
	return id, nil
}

// parseRemaining reads the time that the client has left, which is bounded by its class's deadline.
func parseRemaining(q *http1.Request, deadline time.Duration) (time.Duration, error) {
	text, err := singleField(q, "X-Remaining-Ms", maxNumberBytes)
	if err != nil {
		return 0, err
	}
	ms, ok := parseDigits(text)
	if most := math.Ceil(float64(deadline) / float64(time.Millisecond)); !ok || ms < 1 || ms > most {
		return 0, badRequest("X-Remaining-Ms is %.40q, want a whole number of 1 to %g", text, most)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// checkClass checks method, body and idempotency key against what the class asks for.
func (p *parsedRequest) checkClass(q *http1.Request, class *decide.Class) error {
	if contentType, n := q.Get("Content-Type"); n == 1 {
		p.contentType = contentType
	}
	want := http.MethodPost
	if class.Idempotency == decide.Idempotent {
		want = http.MethodGet
	}
	if p.method != want {
		return requestError(http.StatusMethodNotAllowed, "method %.20q for class %q, want %s",
			p.method, class.Name, want)
	}
	if want == http.MethodGet && len(p.body) > 0 {
		return badRequest("a body of %d bytes with GET", len(p.body))
	}
	if class.Idempotency != decide.IdempotentByKey {
		if _, n := q.Get("Idempotency-Key"); n > 0 {
			return badRequest("Idempotency-Key with class %q, which has none", class.Name)
		}
		return nil
	}
	var err error
	p.idempotencyKey, err = singleField(q, "Idempotency-Key", maxNameBytes)
	return err
}

// parseDigits parses a whole number of a few digits, without sign or exponent.
func parseDigits(s string) (float64, bool) {
	if s == "" || len(s) > maxNumberBytes {
		return 0, false
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil
}

// parseDecimal parses digits with an optional fraction.
func parseDecimal(s string) (float64, bool) {
	whole, fraction, hasPoint := strings.Cut(s, ".")
	if !hasPoint {
		return parseDigits(s)
	}
	if _, ok := parseDigits(whole); !ok {
		return 0, false
	}
	if _, ok := parseDigits(fraction); !ok {
		return 0, false
	}
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil
}

// parseQuota parses X-Quota, such as "units=2,spread=3,first=1". Other names in it are ignored.
func (r *Rules) parseQuota(q *http1.Request) (units float64, gatewayCount, firstGateway int, err error) {
	text, err := singleField(q, "X-Quota", maxQuotaBytes)
	if err != nil {
		return 0, 0, 0, err
	}
	values := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			return 0, 0, 0, badRequest("X-Quota: %.40q, want name=value", part)
		}
		var n float64
		switch name {
		case "units":
			n, ok = parseDecimal(value)
		case "spread", "first":
			n, ok = parseDigits(value)
		default:
			continue
		}
		if _, twice := values[name]; !ok || twice {
			return 0, 0, 0, badRequest("X-Quota: %s is %.40q, want one number", name, value)
		}
		values[name] = n
	}
	if len(values) != 3 {
		return 0, 0, 0, badRequest("X-Quota is %.40q, want units, spread and first", text)
	}
	units = values["units"]
	if units <= 0 || r.maxUnits > 0 && units > r.maxUnits {
		return 0, 0, 0, badRequest("X-Quota: units is %g, want more than 0 and %g at most", units, r.maxUnits)
	}
	spread := values["spread"]
	if spread < 1 || spread > float64(r.gateways) {
		return 0, 0, 0, badRequest("X-Quota: spread is %g, want 1 to %d", spread, r.gateways)
	}
	first := values["first"]
	if first >= float64(r.gateways) {
		return 0, 0, 0, badRequest("X-Quota: first is %g, want 0 to %d", first, r.gateways-1)
	}
	return units, int(spread), int(first), nil
}

// encode returns the bytes of an attempt: what the client sent is forwarded unchanged, with the time that is left.
func (p *parsedRequest) encode(left time.Duration) []byte {
	const fieldBytes = 192 // about what the names and the fixed fields take
	b := make([]byte, 0, fieldBytes+len(p.target)+len(p.txn)+len(p.idempotencyKey)+len(p.body))
	b = append(b, p.method...)
	b = append(b, ' ')
	b = append(b, p.target...)
	b = append(b, " HTTP/1.1\r\nHost: service.internal"...)
	b = appendField(b, "X-Txn", p.txn)
	b = appendNumberField(b, "X-Remaining-Ms", max(0, left.Milliseconds()))
	if p.idempotencyKey != "" {
		b = appendField(b, "Idempotency-Key", p.idempotencyKey)
	}
	if p.contentType != "" {
		b = appendField(b, "Content-Type", p.contentType)
	}
	if p.method != http.MethodGet {
		b = appendNumberField(b, "Content-Length", int64(len(p.body)))
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, p.body...)
}

// appendField appends the end of the line before and a field without its end.
func appendField(b []byte, name, value string) []byte {
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}

func appendNumberField(b []byte, name string, value int64) []byte {
	b = appendField(b, name, "")
	return strconv.AppendInt(b, value, 10)
}
