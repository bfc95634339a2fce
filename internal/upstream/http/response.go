package http

import (
	"net/http"
	"strconv"
	"strings"

	"winghatch/decide"
	"winghatch/internal/http1"
	"winghatch/internal/upstream"
)

// Limits on the figures in a response, so that a faulty server can neither exhaust the memory of the gateway
// nor drain a customer's token bucket.
const (
	maxReportFigures = 8       // number of figures in a load report
	maxReportFigure  = 1e12    // exclusive limit on a figure in a load report
	unitsLimit       = 1 << 31 // exclusive limit on the charged units if Options.MaxUnits is 0
)

// parseResult maps a response to the result of its attempt. Figures on load and usage that cannot be parsed
// are omitted from the result.
func (p *Pool) parseResult(r *http1.Response) upstream.Result {
	var result upstream.Result
	rejected, _ := r.Get("X-Turned-Away")
	switch {
	case r.Status == http.StatusOK:
		result.Outcome = decide.OutcomeOK
		if len(r.Body) > 0 {
			result.Body = r.Body[0]
		}
		if len(r.Body) > 1 {
			result.Rest = r.Body[1:]
		}
	case (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusGatewayTimeout) &&
		rejected == "1":
		result.Outcome = decide.OutcomeRejected
	default:
		result.Outcome = decide.OutcomeError
	}
	if v, n := r.Get("X-Quota-Used"); n == 1 {
		if used, err := strconv.ParseUint(v, 10, 31); err == nil {
			result.ReportedUsage = 1 + int(used)
		}
	}
	if v, n := r.Get("X-Units-Charged"); n == 1 {
		if units, err := strconv.ParseFloat(v, 64); err == nil && p.isChargeable(units) {
			result.ActualUnits = units
		}
	}
	if v, n := r.Get("X-Pressure"); n == 1 {
		result.LoadReport = p.parseLoadReport(v)
	}
	return result
}

// isChargeable reports whether units is a charge that a response may report.
func (p *Pool) isChargeable(units float64) bool {
	if p.opts.MaxUnits == 0 {
		return units > 0 && units < unitsLimit
	}
	return units > 0 && units <= p.opts.MaxUnits
}

// parseLoadReport parses a report such as "inflight=7,queue=2". It returns nil if any part cannot be parsed
// or if there are too many parts, because an incomplete report would be taken for a complete one.
func (p *Pool) parseLoadReport(text string) decide.LoadReport {
	report := decide.LoadReport{}
	for part := range strings.SplitSeq(text, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(part), "=")
		figure, err := strconv.ParseFloat(number, 64)
		inRange := figure >= 0 && figure < maxReportFigure
		if !ok || err != nil || !inRange || len(report) == maxReportFigures {
			return nil
		}
		if p.opts.LoadReportName != nil {
			name = p.opts.LoadReportName(name)
		}
		report[name] = figure
	}
	return report
}
