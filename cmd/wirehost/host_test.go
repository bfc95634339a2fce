package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"winghatch/decide"
)

// profile is the settings of a gateway, with a key that is not known.
const profile = `{"Classes":[{"AimNs":1000000000,"Effect":"safe","GiveUpNs":4000000000,"Importance":1,"Name":"get"}],` +
	`"Extra":{"PeerIntake":40,"UnitsTop":8},"Instances":2,"Rank":0,"Zone":"a","NewKey":{"x":1},` +
	`"Limits":{"SendCap":3,"MayCancel":true,"Peers":true},"Safety":{"ColdNs":5000000000,"FallNs":1000000000,` +
	`"FallMultiple":2,"ColdFrom":0.2},"TiersOfService":[{"Name":"p","Refill":100,"MostAtOnce":300,"Pays":1}]}`

// start is a batch that starts gateway 3 and gives it a server.
const start = `{"NowNs":1000000000,"batch":1,"gateways":[{"I":3,"happened":[` +
	`{"m":"NewInstance","RandomSeed":9223372036854775807,"ProfileData":` + profile + `},` +
	`{"m":"PeersKnown","Kind":"stale_copy","Stamp":9007199254740993,` +
	`"NodesList":[{"Az":"a","StageState":"IN","Server":"10.0.0.1:80"}]}]}]}` + "\n"

// run replies to batches.
func run(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

// TestRoundTrip: a gateway starts, forwards a request, gets its response and is destroyed. Messages that are not known,
// that answer what no gateway asks for, or for a gateway that is gone, have no reply.
func TestRoundTrip(t *testing.T) {
	const request = `{"NowNs":1004000000,"batch":2,"gateways":[{"I":3,"happened":[` +
		`{"m":"Query","Xid":"c:1","Tier":"p","Type":"get","Account":"00000000000000aa","DeadlineNs":2000000000,` +
		`"EntryPoints":2,"SizeUnits":1},{"m":"Elapsed","Tag":9223372036854775807}]}]}` + "\n"
	const response = `{"NowNs":1008000000,"batch":3,"gateways":[{"I":3,"happened":[` +
		`{"m":"Returned","Xid":"c:1","Server":"10.0.0.1:80","StateCode":1,"DurationNs":4000000,"Ended":true,` +
		`"ServerStats":{"backlog":1}},{"m":"Later","x":1}]}]}` + "\n"
	const answersToNothing = `{"NowNs":1008000000,"batch":4,"gateways":[{"I":3,"happened":[` +
		`{"m":"Sampled","Server":"10.0.0.1:80","StateCode":1,"DurationNs":1400000,"ServerStats":{"backlog":3}},` +
		`{"m":"Tallied","Counter":9041552,"StateCode":1,"NowAt":38,"DurationNs":2150000}]}]}` + "\n"
	const stop = `{"NowNs":1008000000,"batch":5,"gateways":[{"I":3,"happened":[` +
		`{"m":"Destroy"},{"m":"Elapsed","Tag":1}]}]}` + "\n"
	out, err := run(t, start+request+response+answersToNothing+stop)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 5 {
		t.Fatalf("got %d replies, want 5: %s", len(lines), out)
	}
	for i, want := range []string{
		`"batch":1`, `"m":"Assign"`, `{"batch":3,"gateways":[]}`, `{"batch":4,"gateways":[]}`,
		`{"batch":5,"gateways":[]}`,
	} {
		if !strings.Contains(lines[i], want) {
			t.Errorf("reply %d is %s, want it to hold %s", i+1, lines[i], want)
		}
	}
	if !strings.Contains(lines[1], `"Server":"10.0.0.1:80"`) || !strings.Contains(lines[1], `"Xid":"c:1"`) {
		t.Errorf("reply 2 is %s, want the request's id and its server", lines[1])
	}
}

// TestMalformedBatches: the error is one line that names the place, and there is no reply.
func TestMalformedBatches(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{"not json\n", "line 1"},
		{`{"NowNs":"x","batch":7}` + "\n", "NowNs"},
		{`{"NowNs":1,"gateways":[]}` + "\n", `"batch" is missing`},
		{
			`{"NowNs":1,"batch":8,"gateways":[{"I":1,"happened":[{"m":"Query","Xid":5}]}]}`,
			`batch 8: gateway 1: Query: field "Xid"`,
		},
		{`{"NowNs":1,"batch":9,"gateways":[{"I":1,"happened":[{"m":"PeersKnown","Kind":"odd"}]}]}`, `unknown "odd"`},
		{`{"NowNs":1,"batch":9,"gateways":[{"I":1,"happened":[{"m":"Elapsed","Tag":-1}]}]}` + "\n{}\n", "Tag"},
	} {
		out, err := run(t, c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", c.in, err, c.want)
		}
		if out != "" {
			t.Errorf("%s: wrote %q", c.in, out)
		}
	}
}

func TestEndOfInput(t *testing.T) {
	if out, err := run(t, ""); err != nil || out != "" {
		t.Errorf("got %q and error %v, want nothing", out, err)
	}
}

// TestUnusableSettingsAreABug: a gateway with settings that can't be used does not end the process, which hosts others.
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

// FuzzBatch: whatever line comes, it is an error or has a reply in JSON.
func FuzzBatch(f *testing.F) {
	f.Add(strings.TrimSpace(start))
	f.Add(`{"NowNs":1,"batch":1,"gateways":[{"I":1,"happened":[null]}]}`)
	f.Add(`{"batch":-1}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, line string) {
		if out, err := newHost().handleBatch([]byte(line)); err == nil && !json.Valid(out) {
			t.Errorf("reply %q is no JSON", out)
		}
	})
}
