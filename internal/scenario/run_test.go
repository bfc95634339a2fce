package scenario

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"winghatch/internal/recording"
)

// runScript runs a script whose gateways have the named defect; "" means none. It fails the test if Verify
// does not return the same verdict, or if the recording of a gateway without a defect does not replay to the
// same actions.
func runScript(t *testing.T, s *Script, defect string) *Result {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	res, err := Run(context.Background(), s, Options{
		Dir:        dir,
		Command:    func(args ...string) *exec.Cmd { return exec.Command(exe, args...) },
		GatewayEnv: func(int) []string { return []string{defectEnv + "=" + defect} },
	})
	if err != nil {
		t.Fatal(err)
	}
	verifiedAgain, err := Verify(dir)
	if err != nil || verifiedAgain.String() != res.Verdict.String() {
		t.Errorf("Verify: error %v, verdict:\n%s\nwant that of the run:\n%s", err, verifiedAgain, res.Verdict)
	}
	if defect == "" {
		for _, file := range res.Recordings {
			checkReplay(t, file)
		}
	}
	return res
}

func checkReplay(t *testing.T, file string) {
	t.Helper()
	in, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	if n, err := recording.Replay(in); err != nil || n.Events == 0 {
		t.Errorf("replay %s: got %+v, error %v, want 1 event or more", filepath.Base(file), n, err)
	}
}

func mustParse(t *testing.T, name, text string) *Script {
	t.Helper()
	s, err := Parse(name, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// shortScript returns a script with the fleet, the servers and the load of the built-in scenario drain.
// faults holds its faults and other settings.
func shortScript(t *testing.T, length, faults string) *Script {
	t.Helper()
	return mustParse(t, "test", "day test { like drain; length \""+length+"\"; "+faults+" }")
}

// drainVariant returns the built-in scenario drain with a length of 4 s and the given faults instead of its
// own. replace holds pairs of old and new texts to replace in the scenario.
func drainVariant(t *testing.T, faults string, replace ...string) *Script {
	t.Helper()
	src, err := readBuiltin("drain")
	if err != nil {
		t.Fatal(err)
	}
	text := string(src)
	replace = append(replace,
		`length "18s"`, `length "4s"`,
		"trouble drain", "/-trouble drain",
		"trouble class_fail", "/-trouble class_fail")
	for i := 0; i < len(replace); i += 2 {
		if !strings.Contains(text, replace[i]) {
			t.Fatalf("the scenario drain does not contain %q", replace[i])
		}
		text = strings.ReplaceAll(text, replace[i], replace[i+1])
	}
	return mustParse(t, "variant", strings.TrimSuffix(strings.TrimSpace(text), "}")+faults+"\n}\n")
}

// lowCeilingScript returns a scenario in which every member sends three times as much as its ceiling allows.
func lowCeilingScript(t *testing.T) *Script {
	t.Helper()
	return drainVariant(t, "",
		"plan=semilla", "plan=imprenta",
		`rate "90/s"; burst 180`, `rate "10/s"; burst 20`,
		`ceiling-rate "180/s"; ceiling-burst 300; ceiling-slack 30`,
		`ceiling-rate "12/s"; ceiling-burst 30; ceiling-slack 8`)
}

// slowStartScript returns a scenario in which a server starts that has very little capacity for a long time.
func slowStartScript(t *testing.T) *Script {
	t.Helper()
	return drainVariant(t, `trouble cold_start at="500ms" count=1`,
		`list-lag "300ms"`, `list-lag "20ms"`,
		"cold-from 0.2", "cold-from 0.04",
		`cold-for "5s"`, `cold-for "20s"`,
		"fall-multiple 4", "fall-multiple 2")
}

// TestRulesHoldUnderFaults guards against gateways that break a rule under faults of servers, gateways,
// clients or discovery, and against recordings that do not replay to the same actions.
func TestRulesHoldUnderFaults(t *testing.T) {
	for name, s := range map[string]*Script{
		"long slow start": slowStartScript(t),
		"low ceilings":    lowCeilingScript(t),
		"no fault":        shortScript(t, "2s", ""),
		"drain and unanswered class": shortScript(t, "4s", `list-lag "50ms"
			trouble class_fail at="300ms" for="3s" class=folio-assign
			trouble drain at="1s" for="1s"`),
		"gateway killed, clients reconnect": shortScript(t, "4s", `trouble balancer_crash at="1s" for="700ms"
			trouble reconnect at="2s"`),
		"gateway suspended": shortScript(t, "5s", `trouble balancer_stall at="1s" for="2s"`),
		"rolling restart, lost connections": shortScript(t, "4s", `trouble balancer_roll at="500ms" for="2s"
			trouble cut at="1s" count=3`),
		"burst, lost gossip": shortScript(t, "4s", `trouble tenant_burst at="500ms" for="2s" count=1 size=12
			trouble lost_peers at="1s" for="2s" size=0.7`),
		"server hang, quick failures and discovery faults": shortScript(t, "4s", `list-lag "50ms"
			trouble vanish at="500ms" for="1s" count=1
			trouble list_bad at="1s"
			trouble fast_errors at="1s" for="2s" size=0.9
			trouble list_stale at="2s" for="500ms"`),
		// Faults that start servers use state that all faults share, and publish endpoints while another
		// fault replaces the discovery server. Without the lock of the run, the race detector reports a data
		// race here.
		"overlapping faults": shortScript(t, "4s", `list-lag "50ms"
			trouble list_stale at="500ms" for="300ms"
			trouble list_stale at="1500ms" for="300ms"
			trouble list_late at="700ms" for="1s"
			trouble drain at="400ms" for="420ms" count=1
			trouble vanish at="600ms" for="900ms" count=1
			trouble cold_start at="1s" count=1
			trouble cold_start at="1s" count=1
			trouble slow at="1s" for="500ms" size=2`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res := runScript(t, s, "")
			if res.Verdict.RulesKept() != 5 {
				t.Errorf("want all rules kept, got\n%s", res.Verdict)
			}
			if st := res.Stats; st.Served < st.Requests/5 || st.Requests < 50 {
				t.Errorf("served %d of %d requests, want a fifth or more of 50 or more",
					st.Served, st.Requests)
			}
		})
	}
}

// TestUsageIsExportedExactlyOnce guards against usage events that are lost or duplicated when gateways and
// the usage receiver are killed at random times, or when plans change and units are reserved while gateways
// restart. At the end the receiver must have every attempt exactly once.
func TestUsageIsExportedExactlyOnce(t *testing.T) {
	for name, faults := range map[string]string{
		"kills": `trouble kill_storm at="200ms" for="6s" count=12
			trouble accounting_kill at="500ms" for="5s" count=4
			trouble accounting_cut at="1s" for="2s"
			trouble accounting_early at="4s" for="1s"`,
		"changes": `trouble plan_change at="500ms" for="3s" count=2
			trouble reserve at="1s" for="4s" count=2 size=60
			trouble balancer_roll at="2s" for="2s"
			trouble accounting_down at="1s" for="2s"
			trouble drain at="3s" for="1s" count=1`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := mustParse(t, "test",
				"day test { like export-kills; length \"7s\"; list-lag \"50ms\"; "+faults+" }")
			res := runScript(t, s, "")
			if res.Verdict.RulesKept() < 5 || len(res.Usage.Violations) > 0 || res.Usage.Confirmed < 100 {
				t.Errorf("want all rules kept, no violation and 100 attempts or more confirmed, got\n%s\n%+v",
					res.Verdict, res.Usage)
			}
			if name == "kills" && (res.Kills != 12 || res.DuplicateEvents == 0) {
				t.Errorf("got %d kills and %d duplicate events, want 12 and more than 0",
					res.Kills, res.DuplicateEvents)
			}
			if name == "changes" && (len(res.Reservations) != 2 ||
				res.Reservations[0].Used+res.Reservations[1].Used == 0) {
				t.Errorf("got reservations %+v, want 2 that are used", res.Reservations)
			}
		})
	}
}

// TestCheckDetectsDefectiveGateways guards against a check that misses a violation or reports one that did
// not occur. Each case runs a scenario with gateways that have a defect. The check must find violations of
// the rule that the defect breaks, and of no rule that it cannot break.
func TestCheckDetectsDefectiveGateways(t *testing.T) {
	unanswered := `trouble class_fail at="300ms" for="3s" count=3 class=folio-assign`
	drain := `list-lag "20ms"; trouble drain at="500ms" for="4s" count=1`
	burst := `trouble tenant_burst at="200ms" for="4s" count=6 size=6`
	lowCeiling := lowCeilingScript(t)
	for defect, c := range map[string]struct {
		rule        int
		script      *Script
		alsoAllowed []int // other rules that the defect may break
	}{
		"no answer":                                  {1, shortScript(t, "2s", ""), nil},
		"two answers":                                {1, shortScript(t, "2s", ""), nil},
		"late answers":                               {1, shortScript(t, "2s", ""), nil},
		"long Retry-After":                           {1, shortScript(t, "2s", burst), nil},
		"unsafe class retried":                       {2, shortScript(t, "4s", unanswered), []int{1}},
		"two attempts at once":                       {2, shortScript(t, "2s", ""), nil},
		"executed request rejected":                  {2, shortScript(t, "4s", unanswered), nil},
		"endpoint changes ignored":                   {3, shortScript(t, "4s", drain), nil},
		"requests sent to draining server":           {3, shortScript(t, "4s", drain), nil},
		"all requests sent to server in slow start":  {4, slowStartScript(t), []int{1}},
		"most requests sent to server in slow start": {4, slowStartScript(t), []int{1}},
		"ceilings removed":                           {5, lowCeiling, nil},
		"quota rejections ignored":                   {5, lowCeiling, []int{1}},
	} {
		t.Run(defect, func(t *testing.T) {
			t.Parallel()
			res := runScript(t, c.script, defect)
			violations := map[int]int{} // number of violations, keyed by rule
			for _, v := range res.Verdict.Violations {
				violations[v.Rule]++
			}
			if violations[c.rule] == 0 {
				t.Errorf("want a violation of rule %d, got\n%s", c.rule, res.Verdict)
			}
			delete(violations, c.rule)
			for _, rule := range c.alsoAllowed {
				delete(violations, rule)
			}
			if len(violations) > 0 {
				t.Errorf("want violations only of the rule that the defect breaks, got\n%s", res.Verdict)
			}
		})
	}
}
