package settings

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"winghatch/decide"
)

// keyByField maps each field of decide.Config that Validate can reject to the platform's key. In both, "[]"
// stands for the index of a class or plan.
var keyByField = map[string]string{
	"Rank":                       "Rank",
	"Gateways":                   "Instances",
	"GossipCapacity":             "Extra.PeerIntake",
	"MaxUnits":                   "Extra.UnitsTop",
	"Limits.MaxAttempts":         "Limits.SendCap",
	"Safety.SlowStartCapacity":   "Safety.ColdFrom",
	"Safety.OverloadMultiple":    "Safety.FallMultiple",
	"Safety.OverloadWindow":      "Safety.FallNs",
	"Classes":                    "Classes",
	"Classes[].Name":             "Classes[].Name",
	"Classes[].LatencyObjective": "Classes[].AimNs",
	"Classes[].PriorityWeight":   "Classes[].Importance",
	"Plans[].Name":               "TiersOfService[].Name",
	"Plans[].Rate":               "TiersOfService[].Refill",
	"Plans[].Burst":              "TiersOfService[].MostAtOnce",
	"Plans[].CeilingRate":        "TiersOfService[].NeverOverRate",
	"Plans[].CeilingBurst":       "TiersOfService[].NeverOverDepth",
	"Plans[].CeilingSlack":       "TiersOfService[].HardSlack",
	"Plans[].MaxInFlight":        "TiersOfService[].Parallel",
	"Plans[].PriorityWeight":     "TiersOfService[].Pays",
	"Plans[].OverQuotaValue":     "TiersOfService[].BeyondEarns",
	"Plans[].OverQuotaCost":      "TiersOfService[].ExcessCost",
}

// indexPattern matches the index of a class or plan in a field.
var indexPattern = regexp.MustCompile(`\[\d+\]`)

// Validate checks a configuration that [Parse] returned. Errors name the platform's key instead of the field
// of [decide.Config].
func Validate(c *decide.Config) error {
	err := c.Validate()
	var settingErr *decide.SettingError
	if !errors.As(err, &settingErr) {
		return err
	}
	key, ok := keyByField[indexPattern.ReplaceAllString(settingErr.Field, "[]")]
	if !ok {
		return err
	}
	if number := indexPattern.FindString(settingErr.Field); number != "" {
		key = strings.Replace(key, "[]", number, 1)
	}
	return fmt.Errorf("%s %s", key, settingErr.Problem)
}
