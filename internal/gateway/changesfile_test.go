package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"winghatch/internal/config"
)

// TestReadChanges reads a valid file, and one with four mistakes, which are all reported with their places.
func TestReadChanges(t *testing.T) {
	good := `change number=1 kind=move member=a plan=gold from="2030-01-01T00:00:00Z"
change number=2 kind=terms plan=gold rate="12/min" burst=5
change number=3 kind=reserve member=a units=50 from="2030-01-01T00:00:00Z" to="2030-01-02T00:00:00Z" use-rate="4/s"
change number=4 kind=cancel target=1`
	cs, _, err := ReadChanges("f.kdl", []byte(good))
	if err != nil || len(cs) != 4 || cs[0].From != 1893456000e9 || cs[1].Terms.Rate != 0.2 || cs[2].Rate != 4 ||
		cs[3].Target != 1 {
		t.Errorf("%+v %v", cs, err)
	}
	bad := `change number=1 kind=mov member=a
change number=1.5 kind=cancel
change kind=cancel number=2 from=soon
chang
`
	_, _, err = ReadChanges("f.kdl", []byte(bad))
	for _, want := range []string{
		`f.kdl:1:22: change.kind: "mov", want one of`,
		`f.kdl:2:15: change.number: 1.5`,
		`f.kdl:3:34: change.from: "soon"`,
		`f.kdl:4:1: chang: "chang" is not known`,
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v\nwant %s", err, want)
		}
	}
}

// TestWatchedFile replaces the file of plan changes, also by one that is truncated and one with a change that is
// rejected: each valid change is applied once.
func TestWatchedFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "changes.kdl")
	g := newTestGateway(t, 1, func(f *config.Fleet) { f.Gateways[0].ChangesFile = file })
	put := func(text string) {
		os.WriteFile(file+".new", []byte(text), 0o600)
		os.Rename(file+".new", file)
	}
	one := "change number=1 kind=move member=poor plan=big\n"
	put(one)
	eventually(t, "the change is taken", func() bool { return g.gateway.State().PlanChanges == 1 })
	put(one + "change number=1 kind=") // cut in the middle of a write
	put(one + `change number=2 kind=move member=nobody plan=big
change number=3 kind=terms plan=big rate="7/s" burst=9
`)
	eventually(t, "the good one behind a bad one is taken", func() bool { return g.gateway.State().PlanChanges == 2 })
	if h := g.gateway.planHistory("poor"); len(h.Entries) != 2 || h.Plans["poor"].Rate != 7 {
		t.Errorf("%+v", h)
	}
}
