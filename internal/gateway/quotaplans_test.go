package gateway

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/credentials"
	"winghatch/internal/quotaplan"
)

// TestPlanChanges submits plan changes to three gateways: all apply them without a restart, invalid ones and those
// without the fleet's secret are rejected. One gateway is killed and knows the changes from its disk and the others;
// another loses its disk and learns all from the others.
func TestPlanChanges(t *testing.T) {
	fleet := newTestFleet(t, nil)
	err := fleet.submit(0, quotaplan.Change{Number: 1, Kind: quotaplan.Move, Member: "poor", Plan: "big"})
	if err != nil {
		t.Fatal(err)
	}
	fleet.awaitChanges(1)
	err = fleet.submit(1, quotaplan.Change{Number: 1, Kind: quotaplan.Move, Member: "m", Plan: "none"})
	if err == nil || !strings.Contains(err.Error(), "change 1: number: seen before: change 1: member poor") {
		t.Errorf("%v", err)
	}
	for _, test := range []struct {
		change quotaplan.Change
		want   string
	}{
		{
			quotaplan.Change{Number: 9, Kind: quotaplan.Move, Member: "m", Plan: "gold"},
			`change 9: plan: "gold", want one of big, none`,
		},
		{
			quotaplan.Change{Number: 9, Kind: quotaplan.Move, Member: "m", Plan: "none", From: 5},
			"change 9: from: 1970-01-01",
		},
	} {
		if err := fleet.submit(2, test.change); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%v, want %s", err, test.want)
		}
	}
	_, err = SubmitChange(fleet.fleet.Gateways[0].StateAddress, credentials.NewSecret(),
		quotaplan.Change{Number: 9, Kind: quotaplan.Move, Member: "m", Plan: "none"})
	if err == nil || !strings.Contains(err.Error(), macHeader) {
		t.Errorf("a change under another secret: %v", err)
	}
	// In service at a gateway that was not asked, without a restart, and on a session that was open before.
	c := fleet.dialAt(2, "poor")
	if n, last := c.serve(12, `{}`); n < 8 {
		t.Errorf("%d of 12 served on the larger plan: %s", n, last)
	}
	n := len(fleet.history(0, "").Entries)
	// Rank 1 is killed, and a change comes while it is away.
	fleet.processes[1].Signal(syscall.SIGKILL)
	err = fleet.submit(0, quotaplan.Change{Number: 2, Kind: quotaplan.Move, Member: "poor", Plan: "none"})
	if err != nil {
		t.Fatal(err)
	}
	if n, _ := c.serve(30, `{}`); n > 14 {
		t.Errorf("%d of 30 served after the plan shrank", n)
	}
	fleet.start(1)
	fleet.awaitChanges(n + 1)
	fleet.processes[2].Signal(syscall.SIGKILL)
	eventually(t, "it is gone", func() bool { return !listens(fleet.fleet.Gateways[2].Listen) })
	os.RemoveAll(fleet.fleet.StateDir(2))
	fleet.start(2)
	fleet.awaitChanges(n + 1)
	if p := fleet.history(2, "poor").Plans["poor"]; p.Name != "none" || p.Rate != 3 {
		t.Errorf("%+v at a gateway with a new disk", p)
	}
}

// TestReservation uses reserved units at all gateways, while the member's ordinary use is at its high-water mark and
// one gateway is killed and started: no more units can be used than were reserved, and the kill loses few.
func TestReservation(t *testing.T) {
	fleet := newTestFleet(t, nil)
	now := time.Now()
	const units = 40.0
	if err := fleet.reserve(0, 5, units, now.Add(500*time.Millisecond), now.Add(60*time.Second)); err != nil {
		t.Fatal(err)
	}
	fleet.awaitChanges(1)
	err := fleet.reserve(1, 6, 500, now.Add(time.Second), now.Add(31*time.Second))
	if err == nil || !strings.Contains(err.Error(), "room for") {
		t.Errorf("%v, want the room that there is", err)
	}
	cs := []*client{fleet.dialAt(0, "poor"), fleet.dialAt(1, "poor"), fleet.dialAt(2, "poor")}
	for _, c := range cs {
		c.serve(10, `{}`) // ordinary use to its mark
	}
	if n, _ := cs[2].serve(5, `{}`); n > 2 {
		t.Errorf("%d ordinary calls of 5 served over the mark", n)
	}
	eventually(t, "the window is open everywhere", func() bool {
		return fleet.reservationOpen(0) && fleet.reservationOpen(1) && fleet.reservationOpen(2)
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
	// A kill loses at most the tokens that were drawn, 16 units, and makes none anew.
	fleet.processes[0].Signal(syscall.SIGKILL)
	spend(cs[1], 4)
	fleet.start(0)
	cs[0] = fleet.dialAt(0, "poor")
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
	_, last = fleet.dialAt(1, fleet.key).serve(1, `{"reserved":true}`)
	if !strings.Contains(last, `"reason":"reserve_none"`) {
		t.Errorf("a member without a reservation: %s", last)
	}
	fleet.submit(2, quotaplan.Change{Number: 7, Kind: quotaplan.Cancel, Target: 5})
	fleet.awaitChanges(2)
	if _, last := cs[2].serve(1, `{"reserved":true}`); !strings.Contains(last, `"reason":"reserve_none"`) {
		t.Errorf("after it was cancelled: %s", last)
	}
}

// reserve submits a reservation of member poor.
func (fleet *testFleet) reserve(rank int, number uint64, units float64, from, to time.Time) error {
	return fleet.submit(rank, quotaplan.Change{
		Number: number,
		Kind:   quotaplan.Reserve,
		Member: "poor",
		Units:  units,
		From:   from.UnixNano(),
		To:     to.UnixNano(),
	})
}

// reservationOpen reports whether a gateway has one reservation, whose window is open.
func (fleet *testFleet) reservationOpen(rank int) bool {
	s := fleet.state(rank)
	return len(s.Reservations) == 1 && s.Reservations[0].Open
}

// TestBookLogFails makes writes to the plan log fail: a plan change does not count and its submitter has no answer,
// until the log can be written again.
func TestBookLogFails(t *testing.T) {
	fs := &faultyDisk{}
	g := newTestGateway(t, 1, nil)
	g.gateway.Stop()
	g.fleet.StateDirPattern = filepath.Join(t.TempDir(), "kept-%d")
	gw, err := Start(g.fleet, Options{Seed: 1, FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	defer gw.Stop()
	fs.failWrites.Store(true)
	done := make(chan error, 1)
	go func() {
		_, err := gw.Submit(quotaplan.Change{Number: 1, Kind: quotaplan.Move, Member: "poor", Plan: "big"})
		done <- err
	}()
	eventually(t, "the failure is reported", func() bool {
		return strings.Contains(gw.State().PlanLogFailure, "no space")
	})
	if n := gw.State().PlanChanges; n != 0 {
		t.Errorf("%d changes count", n)
	}
	fs.failWrites.Store(false)
	if err := <-done; err != nil {
		t.Error(err)
	}
	eventually(t, "it works again", func() bool {
		s := gw.State()
		return s.PlanLogFailure == "" && s.PlanChanges == 1
	})
}

// TestMarkedCallsEnd has a client leave while its requests for reserved units wait, and while they run: no request is
// left, and no unit is lost or made.
func TestMarkedCallsEnd(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	now := time.Now().UnixNano()
	_, err := g.gateway.Submit(quotaplan.Change{
		Number: 1,
		Kind:   quotaplan.Reserve,
		Member: "m",
		Units:  1000,
		From:   now + 1e6,
		To:     now + 60e9,
	})
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "it is open", func() bool { r := g.gateway.State().Reservations; return len(r) == 1 && r[0].Open })
	c := g.dial(g.key)
	for i := range 50 {
		c.send(rpcCall(i, "look", `{"reserved":true,"units":2}`))
	}
	c.conn.Close()
	eventually(t, "none is open", func() bool {
		s := g.gateway.State()
		return s.OpenRequests == 0 && s.Core.OpenRequests == 0 && s.Reservations[0].InFlight == 0
	})
	r := g.gateway.State().Reservations[0]
	if sum := r.HeldTokens + r.DrawnTokens + r.UsedUnits; math.Abs(sum-1000) > 1e-6 || r.Waiting != 0 {
		t.Errorf("%+v: %v units", r, sum)
	}
	var e *quotaplan.Error
	_, err = g.gateway.Submit(quotaplan.Change{Number: 1, Kind: quotaplan.Terms, Plan: "big", Terms: decide.Plan{}})
	if !errors.As(err, &e) {
		t.Errorf("%v", err)
	}
}
