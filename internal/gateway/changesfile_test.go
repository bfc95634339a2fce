package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"winghatch/internal/config"
)

// TestReadChanges guards against mistakes in a file of plan changes that are not reported, or not at their
// positions. It reads a valid file and one with four mistakes.
func TestReadChanges(t *testing.T) {
	valid := `change number=1 kind=move member=a plan=gold from="2030-01-01T00:00:00Z"
change number=2 kind=terms plan=gold rate="12/min" burst=5
change number=3 kind=reserve member=a units=50 from="2030-01-01T00:00:00Z" to="2030-01-02T00:00:00Z" use-rate="4/s"
change number=4 kind=cancel target=1`
	changes, _, err := ReadChanges("f.kdl", []byte(valid))
	if err != nil || len(changes) != 4 || changes[0].From != 1893456000e9 || changes[1].Terms.Rate != 0.2 ||
		changes[2].Rate != 4 || changes[3].Target != 1 {
		t.Errorf("ReadChanges of the valid file returned %+v, %v", changes, err)
	}
	invalid := `change number=1 kind=mov member=a
change number=1.5 kind=cancel
change kind=cancel number=2 from=soon
chang
`
	_, _, err = ReadChanges("f.kdl", []byte(invalid))
	for _, want := range []string{
		`f.kdl:1:22: change.kind: "mov", want one of`,
		`f.kdl:2:15: change.number: 1.5`,
		`f.kdl:3:34: change.from: "soon"`,
		`f.kdl:4:1: chang: "chang" is not known`,
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error is %v\nwant it to contain %s", err, want)
		}
	}
}

// TestWatchChangesFile guards against plan changes that are lost, applied twice or read from a partly written
// file. It replaces the watched file several times, also by a truncated one and by one with a change that is
// rejected: each valid change must be applied once.
func TestWatchChangesFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "changes.kdl")
	g := newTestGateway(t, 1, func(f *config.Fleet) { f.Gateways[0].ChangesFile = file })
	replaceFile := func(text string) {
		os.WriteFile(file+".new", []byte(text), 0o600)
		os.Rename(file+".new", file)
	}
	first := "change number=1 kind=move member=poor plan=big\n"
	replaceFile(first)
	eventually(t, "the change is applied", func() bool { return g.gateway.State().PlanChanges == 1 })
	replaceFile(first + "change number=1 kind=") // truncated, as in the middle of a write
	replaceFile(first + `change number=2 kind=move member=nobody plan=big
change number=3 kind=terms plan=big rate="7/s" burst=9
`)
	eventually(t, "the valid change after a rejected one is applied",
		func() bool { return g.gateway.State().PlanChanges == 2 })
	if h := g.gateway.planHistory("poor"); len(h.Entries) != 2 || h.Plans["poor"].Rate != 7 {
		t.Errorf("history of the member is %+v, want 2 entries and a rate of 7", h)
	}
}
