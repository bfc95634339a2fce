// Package settings converts the settings object of the platform to the configuration of package decide. The
// configuration file of "winghatch serve" and the simulator protocol both contain this object.
//
// No other package maps the platform's keys to the names that this program uses.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"winghatch/decide"
)

// ConnectionLimits holds settings for connections. Package decide does not use them.
type ConnectionLimits struct {
	MaxOpenRequests int           // largest number of open requests; 0: not set
	IdleTimeout     time.Duration // time after which servers close idle connections; 0: not set
}

// Parse decodes the settings object. Errors name the key. The caller must pass the returned configuration to
// [Validate] before using it.
func Parse(raw json.RawMessage) (decide.Config, ConnectionLimits, error) {
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		return decide.Config{}, ConnectionLimits{}, FieldError(err)
	}
	cfg := d.config()
	connections := ConnectionLimits{d.Limits.OpenCap, time.Duration(d.Limits.ConnIdleNs)}
	err := d.Limits.check()
	if err == nil {
		cfg.Classes, err = convertClasses(d.Classes)
	}
	if err == nil {
		cfg.Plans, err = convertTiers(d.TiersOfService)
	}
	return cfg, connections, err
}

// FieldError returns an error that names the key if err reports a JSON value of the wrong type. It returns
// any other error unchanged.
func FieldError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Errorf("field %q: can't take a %s", t.Field, t.Value)
	}
	return err
}

// check rejects negative timeouts of connections. [Validate] does not check them, because no decision of
// package decide depends on them.
func (l *limits) check() error {
	if l.ConnIdleNs < 0 {
		return fmt.Errorf("Limits.ConnIdleNs is %d, want 0 or more", l.ConnIdleNs)
	}
	if l.ConnectTimeoutNs < 0 {
		return fmt.Errorf("Limits.ConnectTimeoutNs is %d, want 0 or more", l.ConnectTimeoutNs)
	}
	return nil
}

// convertClasses checks and converts the classes. Errors name the key.
func convertClasses(classes []class) (converted []decide.Class, err error) {
	seen := map[string]bool{}
	for i, k := range classes {
		switch {
		case seen[k.Name]:
			return converted, fmt.Errorf("Classes[%d].Name is %q, want a name of no earlier class",
				i, k.Name)
		case k.GiveUpNs <= 0:
			return converted, fmt.Errorf("Classes[%d].GiveUpNs is %d, want more than 0", i, k.GiveUpNs)
		case k.WindowNs < 0:
			return converted, fmt.Errorf("Classes[%d].WindowNs is %d, want 0 or more", i, k.WindowNs)
		}
		seen[k.Name] = true
		effect, ok := idempotencyByEffect[k.Effect]
		if !ok {
			return converted, fmt.Errorf("Classes[%d].Effect: unknown %q", i, k.Effect)
		}
		group, ok := dedupScopeByGroup[k.Group]
		if !ok {
			return converted, fmt.Errorf("Classes[%d].Group: unknown %q", i, k.Group)
		}
		converted = append(converted, k.convert(effect, group))
	}
	return converted, nil
}

// convertTiers converts the tiers of service to plans. It returns an error if two have the same name.
func convertTiers(tiers []tier) (converted []decide.Plan, err error) {
	seen := map[string]bool{}
	for i, t := range tiers {
		if seen[t.Name] {
			return converted, fmt.Errorf("TiersOfService[%d].Name is %q, want a name of no earlier tier",
				i, t.Name)
		}
		seen[t.Name] = true
		converted = append(converted, t.convert())
	}
	return converted, nil
}

// LoadReportField returns the name in [decide.LoadReport] of a figure that servers report under the given
// name. It returns unknown names unchanged.
func LoadReportField(reported string) string {
	switch reported {
	case "outstanding":
		return "inflight"
	case "backlog":
		return "queue"
	case "utilization":
		return "util"
	case "recent_ms":
		return "latency_ms"
	case "throughput":
		return "qps"
	}
	return reported
}
