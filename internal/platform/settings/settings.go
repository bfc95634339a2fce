// Package settings reads the settings object of the platform as the configuration of package decide. The
// configuration file of winghatch serve and the simulator's wire both contain that object.
//
// This is the one place that maps the platform's keys to the names of this program.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"winghatch/decide"
)

// ConnectionLimits are settings for connections, which no decision depends on.
type ConnectionLimits struct {
	MaxOpenRequests int           // requests open at once; 0: not set
	IdleTimeout     time.Duration // after which servers close idle connections; 0: not set
}

// Parse reads the settings object. An error names the key. The configuration still has to pass
// [Validate].
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

// FieldError returns an error of encoding/json with the key at which a value did not fit, or the error as it is.
func FieldError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Errorf("field %q: can't take a %s", t.Field, t.Value)
	}
	return err
}

// check refuses times that connections can't work with. Other numbers are checked by Validate.
func (l *limits) check() error {
	if l.ConnIdleNs < 0 {
		return fmt.Errorf("Limits.ConnIdleNs is %d, want 0 or more", l.ConnIdleNs)
	}
	if l.ConnectTimeoutNs < 0 {
		return fmt.Errorf("Limits.ConnectTimeoutNs is %d, want 0 or more", l.ConnectTimeoutNs)
	}
	return nil
}

func convertClasses(classes []class) (converted []decide.Class, err error) {
	seen := map[string]bool{}
	for i, k := range classes {
		switch {
		case seen[k.Name]:
			return converted, fmt.Errorf("Classes[%d].Name is %q, want each once", i, k.Name)
		case k.GiveUpNs <= 0:
			return converted, fmt.Errorf("Classes[%d].GiveUpNs is %d, want more than 0", i, k.GiveUpNs)
		case k.WindowNs < 0:
			return converted, fmt.Errorf("Classes[%d].WindowNs is %d, want 0 or more", i, k.WindowNs)
		}
		seen[k.Name] = true
		effect, ok := effects[k.Effect]
		if !ok {
			return converted, fmt.Errorf("Classes[%d].Effect: unknown %q", i, k.Effect)
		}
		group, ok := groups[k.Group]
		if !ok {
			return converted, fmt.Errorf("Classes[%d].Group: unknown %q", i, k.Group)
		}
		converted = append(converted, k.convert(effect, group))
	}
	return converted, nil
}

func convertTiers(tiers []tier) (converted []decide.Plan, err error) {
	seen := map[string]bool{}
	for i, t := range tiers {
		if seen[t.Name] {
			return converted, fmt.Errorf("TiersOfService[%d].Name is %q, want each once", i, t.Name)
		}
		seen[t.Name] = true
		converted = append(converted, t.convert())
	}
	return converted, nil
}

// LoadReportField is the name in [decide.LoadReport] of a figure that servers report under a name of the wire. A
// name that is not known is kept.
func LoadReportField(wire string) string {
	switch wire {
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
	return wire
}
