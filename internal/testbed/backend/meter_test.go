package backend

import (
	"testing"
	"time"
)

// TestUsageMeterReportsLastCompletePeriod guards against reports that include the current period or count a
// request again for each of its attempts. It counts requests over several periods, among them periods without
// usage.
func TestUsageMeterReportsLastCompletePeriod(t *testing.T) {
	m := NewUsageMeter(time.Hour, map[string]float64{"a": 2})
	m.add("1", "a", 3600)
	m.add("1", "a", 3600)
	m.add("2", "free", 1)
	if got := m.report("a"); got != 1 {
		t.Errorf("report in the first period: %d, want 1", got)
	}
	m.periodStart = m.periodStart.Add(-time.Hour)
	if got := m.report("a"); got != 51 {
		t.Errorf("report after the first period: %d, want 51", got)
	}
	if got := m.report("free"); got != 0 {
		t.Errorf("report of a customer without a rate: %d, want 0", got)
	}
	m.periodStart = m.periodStart.Add(-3 * time.Hour)
	if got := m.report("a"); got != 1 {
		t.Errorf("report after periods without use: %d, want 1", got)
	}
}
