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

// Bounds of header fields. They are checked before the core stores anything about a request.
const (
	maxTxnBytes      = 64      // longest X-Txn
	maxNameBytes     = 128     // longest class, plan or idempotency key
	maxQuotaBytes    = 256     // longest X-Quota
	maxNumberBytes   = 12      // longest number
	customerIDBytes  = 16      // length of X-Customer, in hex digits
	customerIDsBelow = 1 << 33 // exclusive upper bound of the customer number
)

// Rules validates requests. It holds the classes and plans of the configuration and the bounds of X-Quota.
type Rules struct {
	classes  map[string]decide.Class
	plans    map[string]bool
	gateways int
	maxUnits float64 // largest number of units of a request; 0: no limit
}

// NewRules returns the rules for a configuration.
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

// requestError returns an *http1.Error. The client gets its status and text as the response.
func requestError(status int, format string, args ...any) error {
	return &http1.Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// badRequest returns an *http1.Error with status 400.
func badRequest(format string, args ...any) error {
	return requestError(http.StatusBadRequest, format, args...)
}

// parsedRequest holds the parts of a valid request that are forwarded to servers.
type parsedRequest struct {
	txn, method, target, idempotencyKey, contentType string
	body                                             http1.Body
	isRepeatable                                     bool // see the function isRepeatable
}

// parse validates a complete request and converts it for the core and for servers. It runs before the core
// receives the request, because an invalid request must neither charge a quota nor make the core keep state
// for a customer. The remaining time of the request starts at arrivedAt, when its last byte arrived. Errors
// are of type *http1.Error.
//
// X-Txn identifies the request, X-Lane names its class and X-Plan its plan. X-Customer is the customer ID,
// X-Remaining-Ms the time that the client still waits, and X-Quota the units and the gateways that serve the
// customer. X-Resent is 1 if the client has sent the request before.
func (r *Rules) parse(httpRequest *http1.Request, body http1.Body, arrivedAt time.Duration) (
	*frontend.Request, *parsedRequest, error) {
	parsed := &parsedRequest{
		method: strings.Clone(httpRequest.Method),
		target: strings.Clone(httpRequest.Target),
		body:   body,
	}
	var err error
	if parsed.txn, err = singleField(httpRequest, "X-Txn", maxTxnBytes); err != nil {
		return nil, nil, err
	}
	className, err := singleField(httpRequest, "X-Lane", maxNameBytes)
	if err != nil {
		return nil, nil, err
	}
	class, ok := r.classes[className]
	if !ok {
		return nil, nil, badRequest("X-Lane: no class %.40q", className)
	}
	plan, err := singleField(httpRequest, "X-Plan", maxNameBytes)
	if err != nil {
		return nil, nil, err
	}
	if !r.plans[plan] {
		return nil, nil, badRequest("X-Plan: no plan %.40q", plan)
	}
	customer, err := parseCustomer(httpRequest)
	if err != nil {
		return nil, nil, err
	}
	remaining, err := parseRemaining(httpRequest, class.Deadline)
	if err != nil {
		return nil, nil, err
	}
	request := &frontend.Request{
		Class:      className,
		Plan:       plan,
		Customer:   customer,
		Deadline:   arrivedAt + remaining,
		ReceivedAt: arrivedAt,
		Mutates:    class.Idempotency != decide.Idempotent,
	}
	if request.Units, request.GatewayCount, request.FirstGateway, err =
		r.parseQuota(httpRequest); err != nil {
		return nil, nil, err
	}
	if resent, n := httpRequest.Get("X-Resent"); n > 0 {
		request.IsRetry = resent == "1"
	}
	parsed.isRepeatable = isRepeatable(&class)
	return request, parsed, parsed.checkClass(httpRequest, &class)
}

// singleField returns a copy of the value of a header field, because the value shares its memory with the whole
// head. The field must occur exactly once and consist of 1 to maxBytes visible ASCII characters.
func singleField(httpRequest *http1.Request, name string, maxBytes int) (string, error) {
	value, n := httpRequest.Get(name)
	if n != 1 {
		return "", badRequest("%d fields %s, want one", n, name)
	}
	if value == "" || len(value) > maxBytes || strings.ContainsFunc(value, isInvisible) {
		return "", badRequest("%s is %.40q, want 1 to %d visible characters", name, value, maxBytes)
	}
	return strings.Clone(value), nil
}

// isInvisible reports whether c is anything but a visible ASCII character.
func isInvisible(c rune) bool { return c <= ' ' || c > '~' }

// parseCustomer returns the customer ID of X-Customer, which has 16 lower-case hex digits.
func parseCustomer(httpRequest *http1.Request) (string, error) {
	id, err := singleField(httpRequest, "X-Customer", customerIDBytes)
	if err != nil {
		return "", err
	}
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil || len(id) != customerIDBytes || n >= customerIDsBelow || id != strings.ToLower(id) {
		return "", badRequest("X-Customer is %.40q, want 16 hex digits of a number under 2^33", id)
	}
	return id, nil
}

// parseRemaining returns the client's remaining time from X-Remaining-Ms. It must not exceed the deadline of
// the class.
func parseRemaining(httpRequest *http1.Request, deadline time.Duration) (time.Duration, error) {
	text, err := singleField(httpRequest, "X-Remaining-Ms", maxNumberBytes)
	if err != nil {
		return 0, err
	}
	ms, ok := parseDigits(text)
	if maxMs := math.Ceil(float64(deadline) / float64(time.Millisecond)); !ok || ms < 1 || ms > maxMs {
		return 0, badRequest("X-Remaining-Ms is %.40q, want a whole number of 1 to %g", text, maxMs)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// checkClass checks that method, body and idempotency key match the class, and stores the idempotency key and
// the content type.
func (p *parsedRequest) checkClass(httpRequest *http1.Request, class *decide.Class) error {
	if contentType, n := httpRequest.Get("Content-Type"); n == 1 {
		p.contentType = strings.Clone(contentType)
	}
	want := http.MethodPost
	if class.Idempotency == decide.Idempotent {
		want = http.MethodGet
	}
	if p.method != want {
		return requestError(http.StatusMethodNotAllowed, "method %.20q for class %q, want %s",
			p.method, class.Name, want)
	}
	if want == http.MethodGet && p.body.Len() > 0 {
		return badRequest("a body of %d bytes with GET", p.body.Len())
	}
	if class.Idempotency != decide.IdempotentByKey {
		if _, n := httpRequest.Get("Idempotency-Key"); n > 0 {
			return badRequest("Idempotency-Key with class %q, which has none", class.Name)
		}
		return nil
	}
	var err error
	p.idempotencyKey, err = singleField(httpRequest, "Idempotency-Key", maxNameBytes)
	return err
}

// parseDigits parses a whole number of at most maxNumberBytes digits, without sign or exponent.
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

// parseDecimal parses a decimal number with an optional fraction, without sign or exponent.
func parseDecimal(s string) (float64, bool) {
	integer, fraction, hasPoint := strings.Cut(s, ".")
	if !hasPoint {
		return parseDigits(s)
	}
	if _, ok := parseDigits(integer); !ok {
		return 0, false
	}
	if _, ok := parseDigits(fraction); !ok {
		return 0, false
	}
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil
}

// parseQuota parses X-Quota, for example "units=2,spread=3,first=1". It ignores other names.
func (r *Rules) parseQuota(httpRequest *http1.Request) (
	units float64, gatewayCount, firstGateway int, err error) {
	text, err := singleField(httpRequest, "X-Quota", maxQuotaBytes)
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
		if _, isDuplicate := values[name]; !ok || isDuplicate {
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

// content returns the part of an attempt that follows what encode returns, which is a large body.
func (p *parsedRequest) content() [][]byte {
	if p.body.Len() <= smallBodyBytes {
		return nil
	}
	return p.body
}

// encode returns the bytes of an attempt up to its content. They contain the client's request unchanged except
// for the remaining time, which is replaced by left.
func (p *parsedRequest) encode(left time.Duration) []byte {
	const fieldBytes = 192 // approximate size of the field names and fixed fields
	bodyBytes := p.body.Len()
	b := make([]byte, 0, fieldBytes+len(p.target)+len(p.txn)+len(p.idempotencyKey)+min(bodyBytes, smallBodyBytes))
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
		b = appendNumberField(b, "Content-Length", int64(bodyBytes))
	}
	b = append(b, "\r\n\r\n"...)
	if bodyBytes > smallBodyBytes {
		return b
	}
	for _, block := range p.body {
		b = append(b, block...)
	}
	return b
}

// appendField appends the line end of the previous line and a field without a line end.
func appendField(b []byte, name, value string) []byte {
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}

// appendNumberField appends a field with a decimal number in the same form as appendField.
func appendNumberField(b []byte, name string, value int64) []byte {
	b = appendField(b, name, "")
	return strconv.AppendInt(b, value, 10)
}
