package settings

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
)

// object contains each used key with a distinct value, so that a mix-up of two keys shows. It also contains
// keys that are not used: MembershipMode, HasCounter, CounterPrice, CountWaitNs, Probes, AskWithinNs, Prices,
// Telemetry and Unknown.
const object = `{"Rank":1,"Instances":3,"Zone":"a","MembershipMode":"subscribe","Unknown":{"x":1},
"Classes":[{"Name":"get","Effect":"keyed","Group":"zone","AimNs":1,"GiveUpNs":2,"WindowNs":3,"AimStretch":4,
 "Importance":5,"LateWorth":6,"Stream":true}],
"TiersOfService":[{"Name":"p","Refill":7,"MostAtOnce":8,"NeverOverRate":9,"NeverOverDepth":10,"HardSlack":11,
 "Parallel":12,"Pays":13,"BeyondEarns":14,"ExcessCost":15}],
"Extra":{"HasCounter":true,"CostAfter":true,"CounterPrice":16,"PeerIntake":17,"UnitsTop":18,"CountWaitNs":19,
 "MeterNs":20},
"Limits":{"SendCap":21,"OpenCap":22,"ParallelTries":true,"MayCancel":true,"Peers":true,"Probes":true,
 "RetryAfter":true,"MaxRetryAfterNs":23,"ConnectTimeoutNs":24,"ConnIdleNs":25},
"Safety":{"AnswerSlackNs":26,"DrainGraceNs":27,"ColdNs":28,"FallNs":29,"AskWithinNs":30,"ColdFrom":31,
 "FallMultiple":32},
"Prices":{"CrossZone":33,"Waste":34,"Probe":35,"Peer":36,"LateFail":37},
"Telemetry":{"How":"probe"}}`

// Guards against a setting that is lost or takes the place of another one. Each key must arrive in its own
// field of the configuration.
func TestParse(t *testing.T) {
	want := decide.Config{
		Rank:     1,
		Gateways: 3,
		Zone:     "a",
		Classes: []decide.Class{{
			Name:             "get",
			Idempotency:      decide.IdempotentByKey,
			DedupScope:       decide.DedupInZone,
			LatencyObjective: 1,
			Deadline:         2,
			DedupWindow:      3,
			ObjectiveStretch: 4,
			PriorityWeight:   5,
			LateWeight:       6,
			Streaming:        true,
		}},
		Plans: []decide.Plan{{
			Name:           "p",
			Rate:           7,
			Burst:          8,
			CeilingRate:    9,
			CeilingBurst:   10,
			CeilingSlack:   11,
			MaxInFlight:    12,
			PriorityWeight: 13,
			OverQuotaValue: 14,
			OverQuotaCost:  15,
		}},
		SettledOnResponse: true,
		GossipCapacity:    17,
		MaxUnits:          18,
		UsageReportPeriod: 20,
		Limits: decide.Limits{
			MaxAttempts:    21,
			Hedging:        true,
			Cancel:         true,
			Gossip:         true,
			RetryAfter:     true,
			MaxRetryAfter:  23,
			ConnectTimeout: 24,
		},
		Safety: decide.Safety{
			AnswerSlack:       26,
			DrainGrace:        27,
			SlowStartDuration: 28,
			OverloadWindow:    29,
			SlowStartCapacity: 31,
			OverloadMultiple:  32,
		},
	}
	cfg, connections, err := Parse([]byte(object))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(cfg, want) {
		t.Errorf("got %+v, want %+v", cfg, want)
	}
	if want := (ConnectionLimits{
		MaxOpenRequests: 22,
		IdleTimeout:     25 * time.Nanosecond,
	}); connections != want {
		t.Errorf("got connection limits %+v, want %+v", connections, want)
	}
}

// Guards against errors that do not lead operators to the faulty setting: each error must name the key.
func TestParseErrors(t *testing.T) {
	const otherTier = `{"Name":"p"},`
	for _, c := range []struct{ old, replacement, want string }{
		{`"Zone":"a"`, `"Zone":1`, `field "Zone": can't take a number`},
		{`"SendCap":21`, `"SendCap":"x"`, `field "Limits.SendCap": can't take a string`},
		// Keys whose values are not used are checked for their type too.
		{`"Probes":true`, `"Probes":1`, `field "Limits.Probes": can't take a number`},
		{`"AskWithinNs":`, `"AskWithinNs":"x","_":`, `field "Safety.AskWithinNs": can't take a string`},
		{`"Prices":`, `"Prices":{"Waste":"x"},"_":`, `field "Prices.Waste": can't take a string`},
		{`"HasCounter":true`, `"HasCounter":"x"`, `field "Extra.HasCounter": can't take a string`},
		{`"MembershipMode":`, `"MembershipMode":1,"_":`, `field "MembershipMode": can't take a number`},
		{`"Telemetry":`, `"Telemetry":{"How":1},"_":`, `field "Telemetry.How": can't take a number`},
		{`"ConnIdleNs":25`, `"ConnIdleNs":-1`, "Limits.ConnIdleNs is -1"},
		{`"ConnectTimeoutNs":24`, `"ConnectTimeoutNs":-1`, "Limits.ConnectTimeoutNs is -1"},
		{`"GiveUpNs":2`, `"GiveUpNs":0`, "Classes[0].GiveUpNs is 0"},
		{`"WindowNs":3`, `"WindowNs":-1`, "Classes[0].WindowNs is -1"},
		{`"Effect":"keyed"`, `"Effect":"odd"`, `Classes[0].Effect: unknown "odd"`},
		{`"Group":"zone"`, `"Group":"odd"`, `Classes[0].Group: unknown "odd"`},
		{`"Classes":[`, `"Classes":[{"Name":"get","Effect":"safe","GiveUpNs":1},`,
			`Classes[1].Name is "get"`},
		{`"TiersOfService":[`, `"TiersOfService":[` + otherTier, `TiersOfService[1].Name is "p"`},
	} {
		if !strings.Contains(object, c.old) {
			t.Fatalf("the settings object does not contain %s", c.old)
		}
		_, _, err := Parse(json.RawMessage(strings.Replace(object, c.old, c.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %q", c.replacement, err, c.want)
		}
	}
}

// Guards against load reports that are ignored because servers report figures under other names than package
// decide uses. Unknown names must remain unchanged.
func TestLoadReportField(t *testing.T) {
	for reported, want := range map[string]string{
		"outstanding": "inflight", "backlog": "queue", "utilization": "util", "recent_ms": "latency_ms",
		"throughput": "qps", "errors_per_s": "errors_per_s",
	} {
		if got := LoadReportField(reported); got != want {
			t.Errorf("%s: got %s, want %s", reported, got, want)
		}
	}
}
