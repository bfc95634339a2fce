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

// play runs a script with gateways broken as how says; "" is not broken. Verify must come to the same verdict, and the
// recordings of gateways that are not broken must replay to the same actions.
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
		t.Errorf("verified again: %v\n%s\n%s", err, verifiedAgain, res.Verdict)
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
		t.Errorf("%s: %+v, %v", filepath.Base(file), n, err)
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

// short is a script of its own for the fleet and the load of the built-in scenario drain.
func shortScript(t *testing.T, length, faults string) *Script {
	t.Helper()
	return mustParse(t, "test", "day test { like drain; length \""+length+"\"; "+faults+" }")
}

// variant is the built-in scenario drain for 4 s, without its faults and with some of its text replaced: replace holds
// pairs of old and new. rest is added.
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

// lowCeiling is a scenario in which every member sends three times what its ceiling allows.
func lowCeilingScript(t *testing.T) *Script {
	t.Helper()
	return drainVariant(t, "",
		"plan=semilla", "plan=imprenta",
		`rate "90/s"; burst 180`, `rate "10/s"; burst 20`,
		`ceiling-rate "180/s"; ceiling-burst 300; ceiling-slack 30`,
		`ceiling-rate "12/s"; ceiling-burst 30; ceiling-slack 8`)
}

// slowToWarm is a scenario in which a server starts that can do next to nothing for long.
func slowStartScript(t *testing.T) *Script {
	t.Helper()
	return drainVariant(t, `trouble cold_start at="500ms" count=1`,
		`list-lag "300ms"`, `list-lag "20ms"`,
		"cold-from 0.2", "cold-from 0.04",
		`cold-for "5s"`, `cold-for "20s"`,
		"fall-multiple 4", "fall-multiple 2")
}

// TestDays runs scenarios with gateways that are not broken: all rules are kept, and every recording replays to the
// same actions.
func TestDays(t *testing.T) {
	for name, s := range map[string]*Script{
		"slow to warm": slowStartScript(t),
		"ceilings":     lowCeilingScript(t),
		"quiet":        shortScript(t, "2s", ""),
		"drain and mute": shortScript(t, "4s", `list-lag "50ms"
			trouble class_fail at="300ms" for="3s" class=folio-assign
			trouble drain at="1s" for="1s"`),
		"killed": shortScript(t, "4s", `trouble balancer_crash at="1s" for="700ms"
			trouble reconnect at="2s"`),
		"stopped": shortScript(t, "5s", `trouble balancer_stall at="1s" for="2s"`),
		"rolled": shortScript(t, "4s", `trouble balancer_roll at="500ms" for="2s"
			trouble cut at="1s" count=3`),
		"flooded": shortScript(t, "4s", `trouble tenant_burst at="500ms" for="2s" count=1 size=12
			trouble lost_peers at="1s" for="2s" size=0.7`),
		"vanish": shortScript(t, "4s", `list-lag "50ms"
			trouble vanish at="500ms" for="1s" count=1
			trouble list_bad at="1s"
			trouble fast_errors at="1s" for="2s" size=0.9
			trouble list_stale at="2s" for="500ms"`),
		// Faults that start servers draw from what the run shares, and publish while the discovery server is replaced.
		// Without its lock the race detector reports it here.
		"overlapping": shortScript(t, "4s", `list-lag "50ms"
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
				t.Errorf("\n%s", res.Verdict)
			}
			if st := res.Stats; st.Served < st.Requests/5 || st.Requests < 50 {
				t.Errorf("served %d of %d", st.Served, st.Requests)
			}
		})
	}
}

// TestExactlyOnce kills gateways and the usage receiver at random moments, or changes plans and reserves units while
// gateways restart. The receiver must then have every attempt once.
func TestExactlyOnce(t *testing.T) {
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
			s := mustParse(t, "test", "day test { like export-kills; length \"7s\"; list-lag \"50ms\"; "+faults+" }")
			res := runScript(t, s, "")
			if res.Verdict.RulesKept() < 5 || len(res.Usage.Violations) > 0 || res.Usage.Confirmed < 100 {
				t.Errorf("%s\n%+v", res.Verdict, res.Usage)
			}
			if name == "kills" && (res.Kills != 12 || res.DuplicateEvents == 0) {
				t.Errorf("%d kills, %d duplicate events", res.Kills, res.DuplicateEvents)
			}
			if name == "changes" && (len(res.Reservations) != 2 || res.Reservations[0].Used+res.Reservations[1].Used == 0) {
				t.Errorf("%+v", res.Reservations)
			}
		})
	}
}

// TestPlantedBreaches runs scenarios with gateways that are made to break a rule: the check finds it, and finds no
// breach of a rule that was not broken.
func TestPlantedBreaches(t *testing.T) {
	unanswered := `trouble class_fail at="300ms" for="3s" count=3 class=folio-assign`
	drain := `list-lag "20ms"; trouble drain at="500ms" for="4s" count=1`
	burst := `trouble tenant_burst at="200ms" for="4s" count=6 size=6`
	low := lowCeilingScript(t)
	for defect, c := range map[string]struct {
		rule        int
		s           *Script
		alsoAllowed []int // rules that may be broken by it as well
	}{
		"no answer":           {1, shortScript(t, "2s", ""), nil},
		"two answers":         {1, shortScript(t, "2s", ""), nil},
		"late answers":        {1, shortScript(t, "2s", ""), nil},
		"long waits":          {1, shortScript(t, "2s", burst), nil},
		"unsafe again":        {2, shortScript(t, "4s", unanswered), []int{1}},
		"two at once":         {2, shortScript(t, "2s", ""), nil},
		"refuses what ran":    {2, shortScript(t, "4s", unanswered), nil},
		"deaf to drains":      {3, shortScript(t, "4s", drain), nil},
		"sends to who drains": {3, shortScript(t, "4s", drain), nil},
		"all to the cold":     {4, slowStartScript(t), []int{1}},
		"most to the cold":    {4, slowStartScript(t), []int{1}},
		"no ceiling":          {5, low, nil},
		"over the mark":       {5, low, []int{1}},
	} {
		t.Run(defect, func(t *testing.T) {
			t.Parallel()
			res := runScript(t, c.s, defect)
			violations := map[int]int{} // by rule
			for _, v := range res.Verdict.Violations {
				violations[v.Rule]++
			}
			if violations[c.rule] == 0 {
				t.Errorf("rule %d was broken and the check found\n%s", c.rule, res.Verdict)
			}
			delete(violations, c.rule)
			for _, rule := range c.alsoAllowed {
				delete(violations, rule)
			}
			if len(violations) > 0 {
				t.Errorf("also found:\n%s", res.Verdict)
			}
		})
	}
}
