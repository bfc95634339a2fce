package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"winghatch/decide"
)

// profile holds the settings of a gateway, including an unknown key.
const profile = `{"Classes":[{"AimNs":1000000000,"Effect":"safe","GiveUpNs":4000000000,"Importance":1,"Name":"get"}],` +
	`"Extra":{"PeerIntake":40,"UnitsTop":8},"Instances":2,"Rank":0,"Zone":"a","NewKey":{"x":1},` +
	`"Limits":{"SendCap":3,"MayCancel":true,"Peers":true},"Safety":{"ColdNs":5000000000,"FallNs":1000000000,` +
	`"FallMultiple":2,"ColdFrom":0.2},"TiersOfService":[{"Name":"p","Refill":100,"MostAtOnce":300,"Pays":1}]}`

// start is a batch that starts gateway 3 and gives it a server.
const start = `{"NowNs":1000000000,"batch":1,"gateways":[{"I":3,"happened":[` +
	`{"m":"NewInstance","RandomSeed":9223372036854775807,"ProfileData":` + profile + `},` +
	`{"m":"PeersKnown","Kind":"stale_copy","Stamp":9007199254740993,` +
	`"NodesList":[{"Az":"a","StageState":"IN","Server":"10.0.0.1:80"}]}]}]}` + "\n"

// run serves the input and returns the output.
func run(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

// TestRoundTrip guards against lost batches and against replies to messages that need none. A gateway starts,
// forwards a request, receives the response and is destroyed. Unknown messages, messages that answer no
// request of a gateway, and messages for a destroyed gateway must be ignored.
func TestRoundTrip(t *testing.T) {
	const request = `{"NowNs":1004000000,"batch":2,"gateways":[{"I":3,"happened":[` +
		`{"m":"Query","Xid":"c:1","Tier":"p","Type":"get","Account":"00000000000000aa","DeadlineNs":2000000000,` +
		`"EntryPoints":2,"SizeUnits":1},{"m":"Elapsed","Tag":9223372036854775807}]}]}` + "\n"
	const response = `{"NowNs":1008000000,"batch":3,"gateways":[{"I":3,"happened":[` +
		`{"m":"Returned","Xid":"c:1","Server":"10.0.0.1:80","StateCode":1,"DurationNs":4000000,"Ended":true,` +
		`"ServerStats":{"backlog":1}},{"m":"Later","x":1}]}]}` + "\n"
	const unrequestedAnswers = `{"NowNs":1008000000,"batch":4,"gateways":[{"I":3,"happened":[` +
		`{"m":"Sampled","Server":"10.0.0.1:80","StateCode":1,"DurationNs":1400000,"ServerStats":{"backlog":3}},` +
		`{"m":"Tallied","Counter":9041552,"StateCode":1,"NowAt":38,"DurationNs":2150000}]}]}` + "\n"
	const stop = `{"NowNs":1008000000,"batch":5,"gateways":[{"I":3,"happened":[` +
		`{"m":"Destroy"},{"m":"Elapsed","Tag":1}]}]}` + "\n"
	out, err := run(t, start+request+response+unrequestedAnswers+stop)
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
			t.Errorf("reply %d is %s, want it to contain %s", i+1, lines[i], want)
		}
	}
	if !strings.Contains(lines[1], `"Server":"10.0.0.1:80"`) || !strings.Contains(lines[1], `"Xid":"c:1"`) {
		t.Errorf("reply 2 is %s, want the request's id and its server", lines[1])
	}
}

// TestMalformedBatchIsAnError guards against malformed input that is skipped silently. The error must be a
// single line that names the position or the field, and no reply may be written.
func TestMalformedBatchIsAnError(t *testing.T) {
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
			t.Errorf("%s: wrote %q, want no output", c.in, out)
		}
	}
}

// TestEmptyInputHasNoReply guards against an error or output at the end of an empty input.
func TestEmptyInputHasNoReply(t *testing.T) {
	if out, err := run(t, ""); err != nil || out != "" {
		t.Errorf("got %q and error %v, want nothing", out, err)
	}
}

// TestInvalidSettingsReportBug guards against invalid settings of one gateway that end the process, which
// also hosts other gateways.
func TestInvalidSettingsReportBug(t *testing.T) {
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

// TestPanicReportsBug guards against a panic in one gateway that ends the process and with it all other
// gateways.
func TestPanicReportsBug(t *testing.T) {
	g := &instance{gateway: &decide.Gateway{}} // not created by New, so that Handle panics
	out, err := json.Marshal(g.handle(1, decide.EndpointUpdate{Servers: []decide.Server{{ID: "s"}}}))
	if err != nil || !strings.Contains(string(out), `"Bug"`) {
		t.Errorf("got %s, %v, want a Bug", out, err)
	}
}

// FuzzBatch checks that any line of input results in either an error or a reply in valid JSON.
func FuzzBatch(f *testing.F) {
	f.Add(strings.TrimSpace(start))
	f.Add(`{"NowNs":1,"batch":1,"gateways":[{"I":1,"happened":[null]}]}`)
	f.Add(`{"batch":-1}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, line string) {
		if out, err := newHost().handleBatch([]byte(line)); err == nil && !json.Valid(out) {
			t.Errorf("reply %q is not valid JSON", out)
		}
	})
}
