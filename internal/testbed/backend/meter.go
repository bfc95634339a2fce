package backend

import (
	"sync"
	"time"
)

// requestMemory is the time for which a request is remembered, so that its further attempts are not counted
// again.
const requestMemory = time.Minute

// UsageMeter totals the units that all gateways together send for each customer in fixed periods. Servers
// report the total of the last complete period, so a report always lags behind. It is safe for concurrent
// use.
type UsageMeter struct {
	period time.Duration
	rates  map[string]float64 // quota of each customer, in units per second

	mu          sync.Mutex
	periodStart time.Time
	current     map[string]float64   // units in the current period, by customer
	previous    map[string]float64   // units in the last complete period, by customer
	seen        map[string]time.Time // time of the first attempt, by id of a counted request
}

// NewUsageMeter returns a meter whose first period starts now. rates holds the customers' quotas in units per
// second; customers without a rate are not reported.
func NewUsageMeter(period time.Duration, rates map[string]float64) *UsageMeter {
	return &UsageMeter{
		period:      period,
		rates:       rates,
		periodStart: time.Now(),
		current:     map[string]float64{},
		previous:    map[string]float64{},
		seen:        map[string]time.Time{},
	}
}

// add counts the units of a request at its first attempt and ignores its further attempts.
func (m *UsageMeter) add(request, customer string, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.rollPeriod(now)
	if _, counted := m.seen[request]; counted {
		return
	}
	m.seen[request] = now
	m.current[customer] += units
}

// report returns 1 + the usage of the last complete period in percent of the customer's rate, or 0 if the
// customer has no rate. The added 1 distinguishes a usage of 0 from no report.
func (m *UsageMeter) report(customer string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rollPeriod(time.Now())
	rate := m.rates[customer]
	if rate <= 0 {
		return 0
	}
	return 1 + int(100*m.previous[customer]/(rate*m.period.Seconds()))
}

// rollPeriod starts a new period if the current one is over, and forgets old requests. The caller must hold
// m.mu.
func (m *UsageMeter) rollPeriod(now time.Time) {
	periods := int(now.Sub(m.periodStart) / m.period)
	if periods == 0 {
		return
	}
	m.previous = m.current
	if periods > 1 {
		m.previous = map[string]float64{}
	}
	m.current = map[string]float64{}
	m.periodStart = m.periodStart.Add(time.Duration(periods) * m.period)
	for request, at := range m.seen {
		if now.Sub(at) > requestMemory {
			delete(m.seen, request)
		}
	}
}
