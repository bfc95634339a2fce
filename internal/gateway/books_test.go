package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/credentials"
	"winghatch/internal/quotaplan"
)

// trio is three gateways as processes, that keep what they must not forget, with a list and nodes in this one.
type trio struct {
	*bench
	procs []*os.Process
}

func newTrio(t *testing.T, change func(*config.Fleet)) *trio {
	dir := t.TempDir()
	b := newBench(t, 4, func(f *config.Fleet) {
		f.StateDirPattern = filepath.Join(dir, "kept-%d")
		f.Decide.Gateways, f.Decide.Limits.Gossip, f.Decide.GossipCapacity = 3, true, 200
		f.Decide.Plans[0].Rate, f.Decide.Plans[0].Burst = 60, 60
		f.Decide.Plans[1].Rate, f.Decide.Plans[1].Burst = 3, 6
		f.Gateways = nil
		for range 3 {
			f.Gateways = append(f.Gateways, config.Gateway{Listen: freePort(t), GossipAddress: freePort(t), StateAddress: freePort(t)})
		}
		for i := range f.Members {
			f.Members[i].First, f.Members[i].Spread = 0, 3
		}
		if change != nil {
			change(f)
		}
	})
	b.gw.Stop() // the first one ran in this process; it is started anew beside the others
	x := &trio{b, make([]*os.Process, 3)}
	for i := range 3 {
		x.start(i)
	}
	return x
}

func (x *trio) start(i int) {
	x.procs[i] = spawn(x.t, x.fleet, i).Process
	eventually(x.t, "it has the list", func() bool { return strings.Contains(stateOf(x.fleet, i), x.nodes[3].Addr()) })
}

func (x *trio) state(i int) (s State) {
	json.Unmarshal([]byte(stateOf(x.fleet, i)), &s)
	return s
}

func (x *trio) submit(i int, c quotaplan.Change) error {
	_, err := SubmitChange(x.fleet.Gateways[i].StateAddress, x.fleet.Secret, c)
	return err
}

func (x *trio) known(n int) {
	x.t.Helper()
	eventually(x.t, fmt.Sprintf("all know the same %d changes", n), func() bool {
		a := x.state(0)
		for i := 1; i < 3; i++ {
			if b := x.state(i); b.PlanChanges != a.PlanChanges || b.PlanDigest != a.PlanDigest {
				return false
			}
		}
		return a.PlanChanges == n
	})
}

func (x *trio) dialAt(i int, key string) *client {
	f := *x.fleet
	f.Gateways = f.Gateways[i:]
	b := *x.bench
	b.fleet = &f
	return b.dial(key)
}

// serve sends calls one after the other and counts the served.
func (c *client) serve(n int, params string) (served int, last string) {
	for i := range n {
		c.send(call(i, "look", params))
		if last = c.read(); strings.Contains(last, `"result"`) {
			served++
		}
	}
	return served, last
}

// TestPlanChanges takes changes in service over three gateways of which one is killed, and one loses its disk.
func TestPlanChanges(t *testing.T) {
	x := newTrio(t, nil)
	if err := x.submit(0, quotaplan.Change{Number: 1, Kind: quotaplan.Move, Member: "poor", Plan: "big"}); err != nil {
		t.Fatal(err)
	}
	x.known(1)
	err := x.submit(1, quotaplan.Change{Number: 1, Kind: quotaplan.Move, Member: "m", Plan: "none"})
	if err == nil || !strings.Contains(err.Error(), "change 1: number: seen before: change 1: member poor") {
		t.Errorf("%v", err)
	}
	for _, c := range []struct {
		c    quotaplan.Change
		says string
	}{
		{quotaplan.Change{Number: 9, Kind: quotaplan.Move, Member: "m", Plan: "gold"}, `change 9: plan: "gold", want one of big, none`},
		{quotaplan.Change{Number: 9, Kind: quotaplan.Move, Member: "m", Plan: "none", From: 5}, "change 9: from: 1970-01-01"},
	} {
		if err := x.submit(2, c.c); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%v, want %s", err, c.says)
		}
	}
	if _, err := SubmitChange(x.fleet.Gateways[0].StateAddress, credentials.NewSecret(), quotaplan.Change{Number: 9, Kind: quotaplan.Move, Member: "m", Plan: "none"}); err == nil ||
		!strings.Contains(err.Error(), macHeader) {
		t.Errorf("a change under another secret: %v", err)
	}
	// In service at a gateway that was not asked, without a restart, and on a session that was open before.
	c := x.dialAt(2, "poor")
	if n, last := c.serve(12, `{}`); n < 8 {
		t.Errorf("%d of 12 served on the larger plan: %s", n, last)
	}
	n := len(x.history(0, "").Entries)
	// Killed in the middle, it knows from its disk; with an empty one, from the others.
	x.procs[1].Signal(syscall.SIGKILL)
	if err := x.submit(0, quotaplan.Change{Number: 2, Kind: quotaplan.Move, Member: "poor", Plan: "none"}); err != nil {
		t.Fatal(err)
	}
	if n, _ := c.serve(30, `{}`); n > 14 {
		t.Errorf("%d of 30 served after the plan shrank", n)
	}
	x.start(1)
	x.known(n + 1)
	x.procs[2].Signal(syscall.SIGKILL)
	eventually(t, "it is gone", func() bool { return !listens(x.fleet.Gateways[2].Listen) })
	os.RemoveAll(x.fleet.StateDir(2))
	x.start(2)
	x.known(n + 1)
	if p := x.history(2, "poor").Plans["poor"]; p.Name != "none" || p.Rate != 3 {
		t.Errorf("%+v at a gateway with a new disk", p)
	}
}

func (x *trio) history(i int, member string) History {
	h, err := FetchHistory(x.fleet.Gateways[i].StateAddress, member)
	if err != nil {
		x.t.Fatal(err)
	}
	return h
}

// TestReservation uses set-aside units through all gateways, with ordinary use at its mark, while one is killed and
// comes back.
func TestReservation(t *testing.T) {
	x := newTrio(t, nil)
	now := time.Now()
	const units = 40.0
	err := x.submit(0, quotaplan.Change{Number: 5, Kind: quotaplan.Reserve, Member: "poor", Units: units, From: now.Add(500 * time.Millisecond).UnixNano(),
		To: now.Add(60 * time.Second).UnixNano()})
	if err != nil {
		t.Fatal(err)
	}
	x.known(1)
	if err := x.submit(1, quotaplan.Change{Number: 6, Kind: quotaplan.Reserve, Member: "poor", Units: 500, From: now.Add(time.Second).UnixNano(),
		To: now.Add(31 * time.Second).UnixNano()}); err == nil || !strings.Contains(err.Error(), "room for") {
		t.Errorf("%v, want the room that there is", err)
	}
	cs := []*client{x.dialAt(0, "poor"), x.dialAt(1, "poor"), x.dialAt(2, "poor")}
	for _, c := range cs {
		c.serve(10, `{}`) // ordinary use to its mark
	}
	if n, _ := cs[2].serve(5, `{}`); n > 2 {
		t.Errorf("%d ordinary calls of 5 served over the mark", n)
	}
	eventually(t, "the window is open everywhere", func() bool {
		for i := range 3 {
			if s := x.state(i); len(s.Reservations) != 1 || !s.Reservations[0].Open {
				return false
			}
		}
		return true
	})
	used := 0.0
	spend := func(c *client, n int) (last string) {
		got, last := c.serve(n, `{"reserved":true,"units":2}`)
		used += 2 * float64(got)
		return last
	}
	if last := spend(cs[0], 3); used != 6 {
		t.Fatalf("%v used: %s", used, last)
	}
	// Ordinary use does not eat it; a kill loses at most what was drawn (16 units), and makes none anew.
	x.procs[0].Signal(syscall.SIGKILL)
	spend(cs[1], 4)
	x.start(0)
	cs[0] = x.dialAt(0, "poor")
	var last string
	for i := range 3 {
		last = spend(cs[i], 15)
	}
	if used > units || used < units-16 {
		t.Errorf("%v units used of %v", used, units)
	}
	if !strings.Contains(last, `"reason":"reserve_s`) || !strings.Contains(last, `retry_after_ms`) {
		t.Errorf("%s, want it to be spent", last)
	}
	if _, last := x.dialAt(1, x.key).serve(1, `{"reserved":true}`); !strings.Contains(last, `"reason":"reserve_none"`) {
		t.Errorf("a member without a reservation: %s", last)
	}
	x.submit(2, quotaplan.Change{Number: 7, Kind: quotaplan.Cancel, Target: 5})
	x.known(2)
	if _, last := cs[2].serve(1, `{"reserved":true}`); !strings.Contains(last, `"reason":"reserve_none"`) {
		t.Errorf("after it was cancelled: %s", last)
	}
}

// TestBookLogFails makes the books' log fail: a change is not acknowledged, and is once the log works again.
func TestBookLogFails(t *testing.T) {
	fs := &badDisk{}
	b := newBench(t, 1, nil)
	b.gw.Stop()
	b.fleet.StateDirPattern = filepath.Join(t.TempDir(), "kept-%d")
	gw, err := Start(b.fleet, Options{Seed: 1, FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	defer gw.Stop()
	fs.bad.Store(true)
	done := make(chan error, 1)
	go func() {
		_, err := gw.Submit(quotaplan.Change{Number: 1, Kind: quotaplan.Move, Member: "poor", Plan: "big"})
		done <- err
	}()
	eventually(t, "the failure is told", func() bool { return strings.Contains(gw.State().PlanLogFailure, "no space") })
	if n := gw.State().PlanChanges; n != 0 {
		t.Errorf("%d changes count", n)
	}
	fs.bad.Store(false)
	if err := <-done; err != nil {
		t.Error(err)
	}
	eventually(t, "it works again", func() bool { s := gw.State(); return s.PlanLogFailure == "" && s.PlanChanges == 1 })
}

// TestStateWithoutNodes asks a gateway its state that knows no node: there is nothing to be pressed against.
func TestStateWithoutNodes(t *testing.T) {
	b := newBench(t, 0, func(f *config.Fleet) { f.Gateways[0].StateAddress = freePort(t); f.Metrics.Enabled = true })
	if s := stateOf(b.fleet, 0); !strings.Contains(s, `"Mesh":true`) {
		t.Errorf("%q", s)
	}
}

func TestReadChanges(t *testing.T) {
	good := `change number=1 kind=move member=a plan=gold from="2030-01-01T00:00:00Z"
change number=2 kind=terms plan=gold rate="12/min" burst=5
change number=3 kind=reserve member=a units=50 from="2030-01-01T00:00:00Z" to="2030-01-02T00:00:00Z" use-rate="4/s"
change number=4 kind=cancel target=1`
	cs, _, err := ReadChanges("f.kdl", []byte(good))
	if err != nil || len(cs) != 4 || cs[1].Terms.Rate != 0.2 || cs[2].Rate != 4 || cs[3].Target != 1 || cs[0].From != 1893456000e9 {
		t.Errorf("%+v %v", cs, err)
	}
	_, _, err = ReadChanges("f.kdl", []byte("change number=1 kind=mov member=a\nchange number=1.5 kind=cancel\nchange kind=cancel number=2 from=soon\nchang\n"))
	for _, want := range []string{`f.kdl:1:22: change.kind: "mov", want one of`, `f.kdl:2:15: change.number: 1.5`, `f.kdl:3:34: change.from: "soon"`,
		`f.kdl:4:1: chang: "chang" is not known`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v\nwant %s", err, want)
		}
	}
}

// TestWatchedFile takes changes from a file, and those of another version of it, once each.
func TestWatchedFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "changes.kdl")
	b := newBench(t, 1, func(f *config.Fleet) { f.Gateways[0].ChangesFile = file })
	put := func(text string) {
		os.WriteFile(file+".new", []byte(text), 0o600)
		os.Rename(file+".new", file)
	}
	one := "change number=1 kind=move member=poor plan=big\n"
	put(one)
	eventually(t, "the change is taken", func() bool { return b.gw.State().PlanChanges == 1 })
	put(one + "change number=1 kind=") // cut in the middle of a write
	put(one + "change number=2 kind=move member=nobody plan=big\nchange number=3 kind=terms plan=big rate=\"7/s\" burst=9\n")
	eventually(t, "the good one behind a bad one is taken", func() bool { return b.gw.State().PlanChanges == 2 })
	if h := b.gw.planHistory("poor"); len(h.Entries) != 2 || h.Plans["poor"].Rate != 7 {
		t.Errorf("%+v", h)
	}
}

// TestMarkedCallsEnd lets clients leave while their marked calls wait, and while they run: nothing is left over.
func TestMarkedCallsEnd(t *testing.T) {
	b := newBench(t, 1, nil)
	now := time.Now().UnixNano()
	if _, err := b.gw.Submit(quotaplan.Change{Number: 1, Kind: quotaplan.Reserve, Member: "m", Units: 1000, From: now + 1e6, To: now + 60e9}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it is open", func() bool { r := b.gw.State().Reservations; return len(r) == 1 && r[0].Open })
	c := b.dial(b.key)
	for i := range 50 {
		c.send(call(i, "look", `{"reserved":true,"units":2}`))
	}
	c.nc.Close()
	eventually(t, "none is open", func() bool {
		s := b.gw.State()
		return s.OpenRequests == 0 && s.Core.OpenRequests == 0 && s.Reservations[0].InFlight == 0
	})
	r := b.gw.State().Reservations[0]
	if sum := r.HeldTokens + r.DrawnTokens + r.UsedUnits; math.Abs(sum-1000) > 1e-6 || r.Waiting != 0 {
		t.Errorf("%+v: %v units", r, sum)
	}
	var e *quotaplan.Error
	if _, err := b.gw.Submit(quotaplan.Change{Number: 1, Kind: quotaplan.Terms, Plan: "big", Terms: decide.Plan{}}); !errors.As(err, &e) {
		t.Errorf("%v", err)
	}
}
