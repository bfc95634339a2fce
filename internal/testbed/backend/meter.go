package backend

import (
	"sync"
	"time"
)

// Meter totals what all gateways together send on for each member, period by period, as the nodes behind them
// can see it; answers tell the last whole period, so what is told is late.
type Meter struct {
	mu     sync.Mutex
	period time.Duration
	rates  map[string]float64 // units a second, by member
	began  time.Time
	now    map[string]float64
	last   map[string]float64
	seen   map[string]time.Time // requests counted
}

// NewMeter starts a meter of members with those rates.
func NewMeter(period time.Duration, rates map[string]float64) *Meter {
	return &Meter{period: period, rates: rates, began: time.Now(), now: map[string]float64{}, last: map[string]float64{},
		seen: map[string]time.Time{}}
}

// turn ends a period that is over.
func (m *Meter) turn(now time.Time) {
	n := int(now.Sub(m.began) / m.period)
	if n == 0 {
		return
	}
	m.last = m.now
	if n > 1 {
		m.last = map[string]float64{}
	}
	m.now = map[string]float64{}
	m.began = m.began.Add(time.Duration(n) * m.period)
	for id, at := range m.seen {
		if now.Sub(at) > time.Minute {
			delete(m.seen, id)
		}
	}
}

// use counts a request once, however many attempts of it come.
func (m *Meter) use(request, member string, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.turn(now)
	if _, again := m.seen[request]; !again {
		m.seen[request] = now
		m.now[member] += units
	}
}

// told is 1 + the member's use in percent of its rate; 0 where it has none.
func (m *Meter) told(member string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn(time.Now())
	if m.rates[member] <= 0 {
		return 0
	}
	return 1 + int(100*m.last[member]/(m.rates[member]*m.period.Seconds()))
}
