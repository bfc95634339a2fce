package backend

import (
	"sync"
	"time"
)

// Meter totals what all gateways together send on for each member, period by period, as the nodes behind them
// can see it; answers tell the last whole period, so what is told is late.
type UsageMeter struct {
	mu          sync.Mutex
	period      time.Duration
	rates       map[string]float64 // units a second, by member
	periodStart time.Time
	current     map[string]float64
	previous    map[string]float64
	seen        map[string]time.Time // requests counted
}

// NewMeter starts a meter of members with those rates.
func NewUsageMeter(period time.Duration, rates map[string]float64) *UsageMeter {
	return &UsageMeter{period: period, rates: rates, periodStart: time.Now(), current: map[string]float64{}, previous: map[string]float64{},
		seen: map[string]time.Time{}}
}

// turn ends a period that is over.
func (m *UsageMeter) rollPeriod(now time.Time) {
	n := int(now.Sub(m.periodStart) / m.period)
	if n == 0 {
		return
	}
	m.previous = m.current
	if n > 1 {
		m.previous = map[string]float64{}
	}
	m.current = map[string]float64{}
	m.periodStart = m.periodStart.Add(time.Duration(n) * m.period)
	for id, at := range m.seen {
		if now.Sub(at) > time.Minute {
			delete(m.seen, id)
		}
	}
}

// use counts a request once, however many attempts of it come.
func (m *UsageMeter) add(request, member string, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.rollPeriod(now)
	if _, again := m.seen[request]; !again {
		m.seen[request] = now
		m.current[member] += units
	}
}

// told is 1 + the member's use in percent of its rate; 0 where it has none.
func (m *UsageMeter) report(member string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rollPeriod(time.Now())
	if m.rates[member] <= 0 {
		return 0
	}
	return 1 + int(100*m.previous[member]/(m.rates[member]*m.period.Seconds()))
}
