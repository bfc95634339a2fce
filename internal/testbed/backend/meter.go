package backend

import (
	"sync"
	"time"
)

// requestMemory is how long a request is remembered, so that further attempts of it are not counted.
const requestMemory = time.Minute

// UsageMeter totals the units that all gateways together send for each customer, period by period. Servers report the
// total of the last complete period, so a report is always late. It is safe for concurrent use.
type UsageMeter struct {
	period time.Duration
	rates  map[string]float64 // units a second, by customer

	mu          sync.Mutex
	periodStart time.Time
	current     map[string]float64   // units in the period that runs
	previous    map[string]float64   // units in the last complete period
	seen        map[string]time.Time // requests that were counted
}

// NewUsageMeter returns a meter whose first period starts now. rates are the customers' quotas in units a second.
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

// add counts a request once, however many attempts of it come.
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

// report returns 1 + the customer's use in percent of its rate, or 0 if it has no rate.
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

// rollPeriod starts a new period if the current one is over. m.mu is held.
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
