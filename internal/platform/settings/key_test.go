package settings

import (
	"math"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
)

// Guards against errors that operators cannot find in their configuration. They search it for the key that
// the error names, and it does not contain the field names of package decide. The test invalidates each
// setting that package decide checks.
func TestValidateErrorsNamePlatformKeys(t *testing.T) {
	valid := func() decide.Config {
		return decide.Config{
			Gateways: 1,
			Classes: []decide.Class{
				{Name: "a", LatencyObjective: time.Second},
				{Name: "b", LatencyObjective: time.Second},
			},
			Plans:  []decide.Plan{{Name: "p"}, {Name: "q"}},
			Limits: decide.Limits{MaxAttempts: 1},
			Safety: decide.Safety{SlowStartDuration: time.Second, OverloadWindow: time.Second},
		}
	}
	ok := valid()
	if err := Validate(&ok); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*decide.Config){
		"Rank is 7, want":                 func(c *decide.Config) { c.Rank = 7 },
		"Instances is 0, want":            func(c *decide.Config) { c.Gateways = 0 },
		"Extra.PeerIntake is NaN, want":   func(c *decide.Config) { c.GossipCapacity = math.NaN() },
		"Extra.UnitsTop is -1, want":      func(c *decide.Config) { c.MaxUnits = -1 },
		"Limits.SendCap is 0, want":       func(c *decide.Config) { c.Limits.MaxAttempts = 0 },
		"Safety.ColdFrom is -1, want":     func(c *decide.Config) { c.Safety.SlowStartCapacity = -1 },
		"Safety.FallMultiple is -1, want": func(c *decide.Config) { c.Safety.OverloadMultiple = -1 },
		"Safety.FallNs is 0s, want":       func(c *decide.Config) { c.Safety.OverloadWindow = 0 },

		"Classes is empty, want":            func(c *decide.Config) { c.Classes = nil },
		"Classes[1].Name is empty":          func(c *decide.Config) { c.Classes[1].Name = "" },
		"Classes[1].AimNs is 0s, want":      func(c *decide.Config) { c.Classes[1].LatencyObjective = 0 },
		"Classes[0].Importance is -1, want": func(c *decide.Config) { c.Classes[0].PriorityWeight = -1 },

		"TiersOfService[1].Name is empty":          func(c *decide.Config) { c.Plans[1].Name = "" },
		"TiersOfService[1].Refill is -1, want":     func(c *decide.Config) { c.Plans[1].Rate = -1 },
		"TiersOfService[1].MostAtOnce is -1, want": func(c *decide.Config) { c.Plans[1].Burst = -1 },
		"TiersOfService[1].NeverOverRate is -1, want": func(c *decide.Config) {
			c.Plans[1].CeilingRate = -1
		},
		"TiersOfService[1].NeverOverDepth is -1, want": func(c *decide.Config) {
			c.Plans[1].CeilingBurst = -1
		},
		"TiersOfService[1].HardSlack is -1, want": func(c *decide.Config) {
			c.Plans[1].CeilingSlack = -1
		},
		"TiersOfService[1].Parallel is -1, want": func(c *decide.Config) {
			c.Plans[1].MaxInFlight = -1
		},
		"TiersOfService[1].Pays is -1, want": func(c *decide.Config) {
			c.Plans[1].PriorityWeight = -1
		},
		"TiersOfService[1].BeyondEarns is -1, want": func(c *decide.Config) {
			c.Plans[1].OverQuotaValue = -1
		},
		"TiersOfService[1].ExcessCost is -1, want": func(c *decide.Config) {
			c.Plans[1].OverQuotaCost = -1
		},
	} {
		c := valid()
		change(&c)
		if err := Validate(&c); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got error %v, want one that begins with %q", err, want)
		}
	}
}
