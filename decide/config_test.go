package decide

import (
	"math"
	"strings"
	"testing"
)

// A setting with which the decisions cannot work, such as an objective of 0 or a rate that is not a number,
// must be reported by name when a Gateway is created. Otherwise it would show up as wrong decisions later.
func TestInvalidConfigIsRejected(t *testing.T) {
	for want, edit := range map[string]func(*Config){
		"Classes is empty":                  func(c *Config) { c.Classes = nil },
		"Rank is 3":                         func(c *Config) { c.Rank = 3 },
		"Gateways is 0":                     func(c *Config) { c.Gateways = 0 },
		"Plans[1].Rate is -1":               func(c *Config) { c.Plans[1].Rate = -1 },
		"Plans[2].CeilingBurst is NaN":      func(c *Config) { c.Plans[2].CeilingBurst = math.NaN() },
		"Classes[0].LatencyObjective is 0s": func(c *Config) { c.Classes[0].LatencyObjective = 0 },
		"Limits.MaxAttempts is 0":           func(c *Config) { c.Limits.MaxAttempts = 0 },
	} {
		cfg := testConfig()
		edit(&cfg)
		if _, err := New(cfg, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
}
