package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
)

const profile = `{"Classes":[{"AimNs":1000000000,"Effect":"safe","GiveUpNs":4000000000,"Importance":1,"Name":"get"}],` +
	`"Extra":{"PeerIntake":40,"UnitsTop":8},"Instances":2,"Rank":0,"Zone":"a","NewKey":{"x":1},` +
	`"Limits":{"SendCap":3,"MayCancel":true,"Peers":true},"Safety":{"ColdNs":5000000000,"FallNs":1000000000,` +
	`"FallMultiple":2,"ColdFrom":0.2},"TiersOfService":[{"Name":"p","Refill":100,"MostAtOnce":300,"Pays":1}]}`

const start = `{"NowNs":1000000000,"batch":1,"gateways":[{"I":3,"happened":[{"m":"NewInstance","RandomSeed":9223372036854775807,` +
	`"ProfileData":` + profile + `},{"m":"PeersKnown","Kind":"stale_copy","Stamp":9007199254740993,` +
	`"NodesList":[{"Az":"a","StageState":"IN","Server":"10.0.0.1:80"}]}]}]}` + "\n"

func run(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestRoundTrip(t *testing.T) {
	out, err := run(t, start+
		`{"NowNs":1004000000,"batch":2,"gateways":[{"I":3,"happened":[{"m":"Query","Xid":"c:1","Tier":"p","Type":"get",`+
		`"Account":"00000000000000aa","DeadlineNs":2000000000,"EntryPoints":2,"SizeUnits":1},{"m":"Elapsed","Tag":9223372036854775807}]}]}`+"\n"+
		`{"NowNs":1008000000,"batch":3,"gateways":[{"I":3,"happened":[{"m":"Returned","Xid":"c:1","Server":"10.0.0.1:80",`+
		`"StateCode":1,"DurationNs":4000000,"Ended":true,"ServerStats":{"backlog":1}},{"m":"Later","x":1}]}]}`+"\n"+
		`{"NowNs":1008000000,"batch":4,"gateways":[{"I":3,"happened":[{"m":"Destroy"},{"m":"Elapsed","Tag":1}]}]}`+"\n")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 4 {
		t.Fatalf("got %d replies, want 4: %s", len(lines), out)
	}
	for i, want := range []string{`"batch":1`, `"m":"Assign"`, `{"batch":3,"gateways":[]}`, `{"batch":4,"gateways":[]}`} {
		if !strings.Contains(lines[i], want) {
			t.Errorf("reply %d is %s, want it to hold %s", i+1, lines[i], want)
		}
	}
	if !strings.Contains(lines[1], `"Server":"10.0.0.1:80"`) || !strings.Contains(lines[1], `"Xid":"c:1"`) {
		t.Errorf("reply 2 is %s, want the request's id and its server", lines[1])
	}
}

func TestMalformedBatches(t *testing.T) {
	for in, want := range map[string]string{
		"not json\n":                       "line 1",
		`{"NowNs":"x","batch":7}` + "\n":   "NowNs",
		`{"NowNs":1,"gateways":[]}` + "\n": `"batch" is missing`,
		`{"NowNs":1,"batch":8,"gateways":[{"I":1,"happened":[{"m":"Query","Xid":5}]}]}`:               "batch 8: gateway 1: Query: field \"Xid\"",
		`{"NowNs":1,"batch":9,"gateways":[{"I":1,"happened":[{"m":"PeersKnown","Kind":"odd"}]}]}`:     `unknown "odd"`,
		`{"NowNs":1,"batch":9,"gateways":[{"I":1,"happened":[{"m":"Elapsed","Tag":-1}]}]}` + "\n{}\n": "Tag",
	} {
		out, err := run(t, in)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", in, err, want)
		}
		if out != "" {
			t.Errorf("%s: wrote %q", in, out)
		}
	}
}

func TestEndOfInput(t *testing.T) {
	if out, err := run(t, ""); err != nil || out != "" {
		t.Errorf("got %q and error %v, want nothing", out, err)
	}
}

func TestUnusableSettingsAreABug(t *testing.T) {
	for edit, want := range map[string]string{
		`"Rank":0|"Rank":5`:            "Rank is 5",
		`"Refill":100|"Refill":-1`:     "Plans[0].Rate is -1",
		`"Effect":"safe"|"Effect":"x"`: `unknown \"x\"`,
		`"SendCap":3|"SendCap":"x"`:    "SendCap",
	} {
		from, to, _ := strings.Cut(edit, "|")
		out, err := run(t, strings.Replace(start, from, to, 1))
		if err != nil || !strings.Contains(out, `"m":"Bug"`) || !strings.Contains(out, want) {
			t.Errorf("%s: got %q, %v, want a Bug with %s", to, out, err, want)
		}
	}
}

func TestPanicIsABug(t *testing.T) {
	g := &instance{gateway: &decide.Gateway{}} // not made by New
	out, err := json.Marshal(g.handle(1, decide.EndpointUpdate{Servers: []decide.Server{{ID: "s"}}}))
	if err != nil || !strings.Contains(string(out), `"Bug"`) {
		t.Errorf("got %s, %v, want a Bug", out, err)
	}
}

func TestActions(t *testing.T) {
	for want, a := range map[string]decide.Action{
		`{"AllowForNs":5,"Server":"s","Xid":"x","m":"Assign"}`:        decide.Send{ID: "x", Server: "s", Timeout: 5},
		`{"Trial":2,"Xid":"x","m":"Withdraw"}`:                        decide.Cancel{ID: "x", Attempt: 2},
		`{"RetryInNs":7,"Xid":"x","m":"Busy"}`:                        decide.Reject{ID: "x", RetryAfter: 7},
		`{"Xid":"x","m":"ReportFailure"}`:                             decide.Fail{ID: "x"},
		`{"FireAtNs":9,"Tag":9007199254740993,"m":"SetAlarm"}`:        decide.SetTimer{At: 9, Token: 9007199254740993},
		`{"Server":"s","m":"AskLoad"}`:                                decide.HealthCheck{Server: "s"},
		`{"Server":"s","m":"LetGo"}`:                                  decide.CloseIdle{Server: "s"},
		`{"Want":true,"m":"Listen"}`:                                  decide.Subscribe{On: true},
		`{"m":"Snapshot"}`:                                            decide.FetchList{},
		`{"Blob":"hi","To":1,"m":"Tell"}`:                             decide.SendGossip{To: 1, Text: "hi"},
		`{"Counter":9007199254740993,"Step":2,"TtlNs":3,"m":"Enter"}`: decide.AddToCounter{Name: 9007199254740993, Add: 2, TTL: 3},
		`{"Words":"w","m":"Log"}`:                                     decide.Log{Text: "w"},
	} {
		if got, err := json.Marshal(wireAction(a)); err != nil || string(got) != want {
			t.Errorf("%#v: got %s, %v, want %s", a, got, err, want)
		}
	}
}

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		m, raw string
		want   decide.Event
	}{
		{"Headers", `{"Xid":"x","Trial":1,"DurationNs":5,"Server":"s"}`,
			decide.ResponseStarted{ID: "x", Server: "s", Attempt: 1, Duration: 5}},
		{"ClientLeft", `{"Xid":"x"}`, decide.ClientDisconnected{ID: "x"}},
		{"Elapsed", `{"Tag":9223372036854775808}`, decide.TimerFired{Token: 1 << 63}},
		{"Datagram", `{"Src":2,"Blob":"hi"}`, decide.GossipReceived{From: 2, Text: "hi"}},
		{"Tallied", `{"Counter":9007199254740993,"StateCode":4,"NowAt":3.5,"DurationNs":2}`,
			decide.CounterUpdated{Name: 9007199254740993, Outcome: decide.OutcomeTimedOut, Total: 3.5, Duration: 2}},
		{"Query", `{"Xid":"x","Tier":"p","DeadlineNs":5,"EntryPoints":3,"AgainByClient":true,"SizeUnits":2,"FromNo":1,"Mutates":true,"Type":"k","Account":"a"}`,
			decide.Request{ID: "x", Class: "k", Plan: "p", Customer: "a", Units: 2, Deadline: 5, FirstGateway: 1, GatewayCount: 3, IsRetry: true, Mutates: true}},
	} {
		if got, err := parseEvent(c.m, []byte(c.raw)); err != nil || got != c.want {
			t.Errorf("%s: got %#v, %v, want %#v", c.m, got, err, c.want)
		}
	}
	got, err := parseEvent("Returned", []byte(`{"Xid":"x","Trial":1,"Server":"s","StateCode":6,"DurationNs":4,"Metered":86,"Actual":3,"ServerStats":{"recent_ms":2,"odd":1}}`))
	e := got.(decide.AttemptEnded)
	if err != nil || e.Outcome != decide.OutcomeReset || e.ReportedUsage != 86 || e.ActualUnits != 3 || e.Duration != 4*time.Nanosecond ||
		e.LoadReport["latency_ms"] != 2 || e.LoadReport["odd"] != 1 {
		t.Errorf("Returned: got %#v, %v", got, err)
	}
	got, err = parseEvent("Sampled", []byte(`{"Server":"s","StateCode":1,"ServerStats":{"utilization":0.5}}`))
	if p := got.(decide.HealthCheckEnded); err != nil || p.LoadReport["util"] != 0.5 {
		t.Errorf("Sampled: got %#v, %v", got, err)
	}
	got, err = parseEvent("PeersKnown", []byte(`{"Kind":"patch","Stamp":4,"NodesList":[{"StartTimeNs":6,"Model":"m","Az":"z","StageState":"LAME","Server":"s","Stripe":2,"CapacityHint":1.5}]}`))
	if u := got.(decide.EndpointUpdate); err != nil || u.Kind != decide.DeltaUpdate || len(u.Servers) != 1 ||
		u.Servers[0] != (decide.Server{ID: "s", Zone: "z", Cell: 2, Kind: "m", State: decide.Draining, StartedAt: 6, Weight: 1.5}) {
		t.Errorf("PeersKnown: got %#v, %v", got, err)
	}
}

func FuzzBatch(f *testing.F) {
	f.Add(strings.TrimSpace(start))
	f.Add(`{"NowNs":1,"batch":1,"gateways":[{"I":1,"happened":[null]}]}`)
	f.Add(`{"batch":-1}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, line string) {
		if out, err := newHost().batch([]byte(line)); err == nil && !json.Valid(out) {
			t.Errorf("reply %q is no JSON", out)
		}
	})
}
