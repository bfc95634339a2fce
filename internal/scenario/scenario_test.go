package scenario

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	"winghatch/internal/gateway"
	"winghatch/internal/recording"
)

// TestMain is also the gateway's program: a day starts this binary as its gateways, whole or broken.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "gateway" {
		if err := runGateway(os.Args[2:], os.Getenv("BREAK")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	// Days mostly wait: six at once, whatever the machine has, keep two cores busy and the tests short.
	flag.Parse()
	flag.Set("test.parallel", "6")
	os.Exit(m.Run())
}

// runGateway takes --config F --rank N --tape T.
func runGateway(args []string, how string) error {
	f, err := config.Load(args[1])
	if err != nil {
		return err
	}
	rank, _ := strconv.Atoi(args[3])
	out, err := os.Create(args[5])
	if err != nil {
		return err
	}
	defer out.Close()
	if how == "no ceiling" {
		for i := range f.Decide.Plans {
			p := &f.Decide.Plans[i]
			p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst = 1e6, 1e6, 0, 0
		}
	}
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, syscall.SIGTERM)
	g, err := gateway.Start(f, gateway.Options{Rank: rank, Recording: out, Tamper: breaks(how)})
	if err != nil {
		return err
	}
	<-sigs
	g.Drain()
	return nil
}

// breaks are gateways made to break a rule.
func breaks(how string) (t gateway.Tamper) {
	serverOf := map[string]bool{}
	var listed []string
	requests := map[string]decide.Request{}
	note := func(ev decide.Event) {
		switch e := ev.(type) {
		case decide.EndpointUpdate:
			for _, s := range e.Servers {
				if !serverOf[s.ID] {
					serverOf[s.ID] = true
					listed = append(listed, s.ID)
				}
			}
		case decide.Request:
			requests[e.ID] = e
		}
	}
	other := func(not string) string {
		for _, s := range listed {
			if s != not {
				return s
			}
		}
		return not
	}
	each := func(f func(ev decide.Event, a decide.Action) []decide.Action) {
		t.Actions = func(ev decide.Event, acts []decide.Action) (out []decide.Action) {
			note(ev)
			for _, a := range acts {
				out = append(out, f(ev, a)...)
			}
			return out
		}
	}
	n := 0
	switch how {
	case "no answer":
		t.Response = func(f frontend.Response, done func(frontend.Response)) {
			if n++; n%20 != 0 {
				done(f)
			}
		}
	case "two answers":
		t.Response = func(f frontend.Response, done func(frontend.Response)) {
			done(f)
			if n++; n%20 == 0 {
				done(f)
			}
		}
	case "late answers":
		t.Response = func(f frontend.Response, done func(frontend.Response)) {
			if n++; n%20 == 0 {
				time.AfterFunc(6*time.Second, func() { done(f) })
				return
			}
			done(f)
		}
	case "long waits":
		t.Response = func(f frontend.Response, done func(frontend.Response)) {
			f.RetryAfter = time.Minute
			done(f)
		}
	case "unsafe again": // an unsafe call that may have run is sent once more
		each(func(ev decide.Event, a decide.Action) []decide.Action {
			if f, ok := a.(decide.Fail); ok {
				if e, ok := ev.(decide.AttemptEnded); ok {
					return []decide.Action{decide.Send{ID: f.ID, Server: other(e.Server)}}
				}
			}
			return []decide.Action{a}
		})
	case "two at once":
		each(func(_ decide.Event, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok && requests[s.ID].Class == "order-lookup" {
				return []decide.Action{a, decide.Send{ID: s.ID, Server: other(s.Server), Timeout: s.Timeout}}
			}
			return []decide.Action{a}
		})
	case "refuses what ran": // by a Refuse in place of a Fail
		each(func(_ decide.Event, a decide.Action) []decide.Action {
			if f, ok := a.(decide.Fail); ok {
				return []decide.Action{decide.Reject{ID: f.ID}}
			}
			return []decide.Action{a}
		})
	case "deaf to drains":
		t.Event = func(ev decide.Event) decide.Event {
			if e, ok := ev.(decide.EndpointUpdate); ok && e.Kind == decide.DeltaUpdate {
				return nil
			}
			return ev
		}
	case "sends to who drains":
		var draining string
		t.Event = func(ev decide.Event) decide.Event {
			if e, ok := ev.(decide.EndpointUpdate); ok {
				for _, s := range e.Servers {
					if s.State == decide.Draining {
						draining = s.ID
					}
				}
			}
			return ev
		}
		each(func(_ decide.Event, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok && draining != "" {
				if n++; n%5 == 0 {
					s.Server = draining
					return []decide.Action{s}
				}
			}
			return []decide.Action{a}
		})
	case "all to the cold", "most to the cold":
		cold, spared := "", map[string]int{"all to the cold": 0, "most to the cold": 3}[how]
		t.Event = func(ev decide.Event) decide.Event {
			if e, ok := ev.(decide.EndpointUpdate); ok {
				for _, s := range e.Servers {
					if s.StartedAt > 0 {
						cold = s.ID
					}
				}
			}
			return ev
		}
		each(func(_ decide.Event, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok && cold != "" {
				if n++; spared == 0 || n%spared != 0 {
					s.Server = cold
					return []decide.Action{s}
				}
			}
			return []decide.Action{a}
		})
	case "over the mark": // whom the core refuses is sent on all the same
		each(func(_ decide.Event, a decide.Action) []decide.Action {
			if r, ok := a.(decide.Reject); ok && (r.Reason == decide.ReasonOverQuota || r.Reason == decide.ReasonOverCeiling) {
				return []decide.Action{decide.Send{ID: r.ID, Server: other("")}}
			}
			return []decide.Action{a}
		})
	}
	return t
}

func play(t *testing.T, s *Script, how string) *Result {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	res, err := Run(context.Background(), s, Options{Dir: dir,
		Command:    func(args ...string) *exec.Cmd { return exec.Command(exe, args...) },
		GatewayEnv: func(int) []string { return []string{"BREAK=" + how} }})
	if err != nil {
		t.Fatal(err)
	}
	again, err := Verify(dir)
	if err != nil || again.String() != res.Verdict.String() {
		t.Errorf("judged again: %v\n%s\n%s", err, again, res.Verdict)
	}
	if how == "" {
		for _, file := range res.Recordings {
			in, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := recording.Replay(in); err != nil || n.Events == 0 {
				t.Errorf("%s: %+v, %v", filepath.Base(file), n, err)
			}
			in.Close()
		}
	}
	return res
}

// short is the drain day's fleet on a day of its own.
func short(t *testing.T, length, rest string) *Script {
	t.Helper()
	s, err := Parse("test", []byte("day test { like drain; length \""+length+"\"; "+rest+" }"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// variant is the drain day without its troubles and with some of its text replaced.
func variant(t *testing.T, rest string, replace ...string) *Script {
	t.Helper()
	src, err := builtin.ReadFile("files/drain.kdl")
	if err != nil {
		t.Fatal(err)
	}
	text := string(src)
	replace = append(replace, `length "18s"`, `length "4s"`, "trouble drain", "/-trouble drain", "trouble class_fail", "/-trouble class_fail")
	for i := 0; i < len(replace); i += 2 {
		if !strings.Contains(text, replace[i]) {
			t.Fatalf("%q does not stand in the drain day", replace[i])
		}
		text = strings.ReplaceAll(text, replace[i], replace[i+1])
	}
	s, err := Parse("variant", []byte(strings.TrimSuffix(strings.TrimSpace(text), "}")+rest+"\n}\n"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// lowCeiling is a day on which every member asks three times what its ceiling bears.
func lowCeiling(t *testing.T) *Script {
	return variant(t, "", "plan=semilla", "plan=imprenta", `rate "90/s"; burst 180`, `rate "10/s"; burst 20`,
		`ceiling-rate "180/s"; ceiling-burst 300; ceiling-slack 30`, `ceiling-rate "12/s"; ceiling-burst 30; ceiling-slack 8`)
}

// slowToWarm is a day on which a node starts that bears next to nothing for long.
func slowToWarm(t *testing.T) *Script {
	return variant(t, `trouble cold_start at="500ms" count=1`, `list-lag "300ms"`, `list-lag "20ms"`, "cold-from 0.2", "cold-from 0.04",
		`cold-for "5s"`, `cold-for "20s"`, "fall-multiple 4", "fall-multiple 2")
}

// TestDays plays days with whole gateways: all rules are kept, and every tape replays to the same actions.
func TestDays(t *testing.T) {
	for name, s := range map[string]*Script{
		"slow to warm": slowToWarm(t),
		"ceilings":     lowCeiling(t),
		"quiet":        short(t, "2s", ""),
		"drain and mute": short(t, "4s", `list-lag "50ms"; trouble class_fail at="300ms" for="3s" class=folio-assign
			trouble drain at="1s" for="1s"`),
		"killed":  short(t, "4s", `trouble balancer_crash at="1s" for="700ms"; trouble reconnect at="2s"`),
		"stopped": short(t, "5s", `trouble balancer_stall at="1s" for="2s"`),
		"rolled":  short(t, "4s", `trouble balancer_roll at="500ms" for="2s"; trouble cut at="1s" count=3`),
		"flooded": short(t, "4s", `trouble tenant_burst at="500ms" for="2s" count=1 size=12; trouble lost_peers at="1s" for="2s" size=0.7`),
		"vanish": short(t, "4s", `list-lag "50ms"; trouble vanish at="500ms" for="1s" count=1; trouble list_bad at="1s"
			trouble fast_errors at="1s" for="2s" size=0.9; trouble list_stale at="2s" for="500ms"`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res := play(t, s, "")
			if res.Verdict.RulesKept() != 5 {
				t.Errorf("\n%s", res.Verdict)
			}
			if st := res.Stats; st.Served < st.Requests/5 || st.Requests < 50 {
				t.Errorf("served %d of %d", st.Served, st.Requests)
			}
		})
	}
}

// TestExactlyOnce kills gateways and the accounting at a dozen random moments: every try is at the accounting once.
func TestExactlyOnce(t *testing.T) {
	for name, rest := range map[string]string{
		"kills": `trouble kill_storm at="200ms" for="6s" count=12; trouble accounting_kill at="500ms" for="5s" count=4
			trouble accounting_cut at="1s" for="2s"; trouble accounting_early at="4s" for="1s"`,
		"changes": `trouble plan_change at="500ms" for="3s" count=2; trouble reserve at="1s" for="4s" count=2 size=60
			trouble balancer_roll at="2s" for="2s"; trouble accounting_down at="1s" for="2s"; trouble drain at="3s" for="1s" count=1`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := Parse("test", []byte("day test { like export-kills; length \"7s\"; list-lag \"50ms\"; "+rest+" }"))
			if err != nil {
				t.Fatal(err)
			}
			res := play(t, s, "")
			if res.Verdict.RulesKept() < 5 || len(res.Usage.Violations) > 0 || res.Usage.Confirmed < 100 {
				t.Errorf("%s\n%+v", res.Verdict, res.Usage)
			}
			if name == "kills" && (res.Kills != 12 || res.DuplicateEvents == 0) {
				t.Errorf("%d kills, %d repeats", res.Kills, res.DuplicateEvents)
			}
			if name == "changes" && (len(res.Reservations) != 2 || res.Reservations[0].Used+res.Reservations[1].Used == 0) {
				t.Errorf("%+v", res.Reservations)
			}
		})
	}
}

// TestPlantedBreaches plays days with gateways made to break a rule: the judge finds it, and no day is accused
// by another rule than it breaks.
func TestPlantedBreaches(t *testing.T) {
	mute := `trouble class_fail at="300ms" for="3s" count=3 class=folio-assign`
	drain := `list-lag "20ms"; trouble drain at="500ms" for="4s" count=1`
	low := lowCeiling(t)
	rush := `trouble tenant_burst at="200ms" for="4s" count=6 size=6`
	for how, c := range map[string]struct {
		rule int
		s    *Script
		also []int
	}{
		"no answer":           {1, short(t, "2s", ""), nil},
		"two answers":         {1, short(t, "2s", ""), nil},
		"late answers":        {1, short(t, "2s", ""), nil},
		"long waits":          {1, short(t, "2s", rush), nil},
		"unsafe again":        {2, short(t, "4s", mute), []int{1}},
		"two at once":         {2, short(t, "2s", ""), nil},
		"refuses what ran":    {2, short(t, "4s", mute), nil},
		"deaf to drains":      {3, short(t, "4s", drain), nil},
		"sends to who drains": {3, short(t, "4s", drain), nil},
		"all to the cold":     {4, slowToWarm(t), []int{1}},
		"most to the cold":    {4, slowToWarm(t), []int{1}},
		"no ceiling":          {5, low, nil},
		"over the mark":       {5, low, []int{1}},
	} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			res := play(t, c.s, how)
			broken := map[int]int{}
			for _, b := range res.Verdict.Violations {
				broken[b.Rule]++
			}
			if broken[c.rule] == 0 {
				t.Errorf("rule %d was broken and the judge found\n%s", c.rule, res.Verdict)
			}
			delete(broken, c.rule)
			for _, rule := range c.also {
				delete(broken, rule)
			}
			if len(broken) > 0 {
				t.Errorf("also accused:\n%s", res.Verdict)
			}
		})
	}
}

// TestBuiltIn reads every built-in day, and wants one for each sort of trouble.
func TestBuiltIn(t *testing.T) {
	played := map[string]bool{}
	for _, name := range BuiltinNames() {
		s, err := Open(name)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, x := range s.Faults {
			played[x.Kind] = true
		}
	}
	for kind := range FaultKinds {
		if !played[kind] {
			t.Errorf("no built-in day plays %s", kind)
		}
		if injectors[kind] == nil {
			t.Errorf("%s can't be injected", kind)
		}
	}
	if len(injectors) != len(FaultKinds) {
		t.Errorf("%d injectors for %d kinds of faults", len(injectors), len(FaultKinds))
	}
}

func TestBadScripts(t *testing.T) {
	for in, want := range map[string]string{
		``:                                 `want one node named "day"`,
		`day x {}`:                         "want a fleet, nodes and a load",
		`day x { like nothing }`:           `"nothing", want another of the built-in days`,
		`day x { like drain; length "x" }`: "want a duration",
		`day x { like drain; trouble rain at="1s" }`:                     "want one of",
		`day x { like drain; trouble slow }`:                             "trouble slow.at: missing",
		`day x { like drain; trouble slow at="1s" count=0 }`:             "want a whole number",
		`day x { like drain; trouble class_fail at="1s" }`:               "class: missing",
		`day x { like drain; trouble class_fail at="1s" class=nothing }`: "want a class of the fleet",
		`day x { like drain; load rate="1/s" }`:                          "of its own",
	} {
		if _, err := Parse("f", []byte(in)); err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "f:1:") {
			t.Errorf("%s: %v, want %q", in, err, want)
		}
	}
}
