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

// TestPlanChanges guards against plan changes that do not reach every gateway or are lost with one. It
// submits changes to three gateways: all must apply them without a restart, and invalid changes and those
// without the secret of the fleet must be rejected. One gateway is killed and must know the changes from its
// disk and its peers; another loses its disk and must learn them from its peers.
func TestPlanChanges(t *testing.T) {
	fleet := newTestFleet(t, nil)
	err := fleet.submit(0, quotaplan.Change{Number: 1, Kind: quotaplan.Move, Member: "poor", Plan: "big"})
	if err != nil {
		t.Fatal(err)
	}
	fleet.awaitChanges(1)
	err = fleet.submit(1, quotaplan.Change{Number: 1, Kind: quotaplan.Move, Member: "m", Plan: "none"})
	if err == nil || !strings.Contains(err.Error(), "change 1: number: seen before: change 1: member poor") {
		t.Errorf("a number in use is answered %v, want a rejection", err)
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
			t.Errorf("error is %v, want it to contain %s", err, test.want)
		}
	}
	_, err = SubmitChange(fleet.fleet.Gateways[0].StateAddress, credentials.NewSecret(),
		quotaplan.Change{Number: 9, Kind: quotaplan.Move, Member: "m", Plan: "none"})
	if err == nil || !strings.Contains(err.Error(), macHeader) {
		t.Errorf("change with another secret is answered %v, want an error about the MAC header", err)
	}
	// The plan is in force at a gateway that did not receive the request, without a restart, and on a session
	// that was opened before the change.
	c := fleet.dialAt(2, "poor")
	if n, last := c.serve(12, `{}`); n < 8 {
		t.Errorf("%d of 12 served on the larger plan, want at least 8; last answer %s", n, last)
	}
	n := len(fleet.history(0, "").Entries)
	// Kill rank 1 and submit a change while it is down.
	fleet.processes[1].Signal(syscall.SIGKILL)
	err = fleet.submit(0, quotaplan.Change{Number: 2, Kind: quotaplan.Move, Member: "poor", Plan: "none"})
	if err != nil {
		t.Fatal(err)
	}
	if n, _ := c.serve(30, `{}`); n > 14 {
		t.Errorf("%d of 30 served after the change to the smaller plan, want at most 14", n)
	}
	fleet.start(1)
	fleet.awaitChanges(n + 1)
	fleet.processes[2].Signal(syscall.SIGKILL)
	eventually(t, "rank 2 no longer listens", func() bool { return !listens(fleet.fleet.Gateways[2].Listen) })
	os.RemoveAll(fleet.fleet.StateDir(2))
	fleet.start(2)
	fleet.awaitChanges(n + 1)
	if p := fleet.history(2, "poor").Plans["poor"]; p.Name != "none" || p.Rate != 3 {
		t.Errorf("plan at a gateway with a new disk is %+v, want none with a rate of 3", p)
	}
}

// TestReservationAcrossGateways guards against reserved units that are used twice or lost. It uses reserved
// units at all gateways while the ordinary use of the member is at its high-water mark, and kills and
// restarts one gateway: exactly the units that were reserved must be usable.
func TestReservationAcrossGateways(t *testing.T) {
	fleet := newTestFleet(t, nil)
	now := time.Now()
	const units = 40.0
	if err := fleet.reserve(0, 5, units, now.Add(500*time.Millisecond), now.Add(60*time.Second)); err != nil {
		t.Fatal(err)
	}
	fleet.awaitChanges(1)
	err := fleet.reserve(1, 6, 500, now.Add(time.Second), now.Add(31*time.Second))
	if err == nil || !strings.Contains(err.Error(), "room for") {
		t.Errorf("reservation above the capacity is answered %v, want the room that is left", err)
	}
	clients := []*client{fleet.dialAt(0, "poor"), fleet.dialAt(1, "poor"), fleet.dialAt(2, "poor")}
	for _, c := range clients {
		c.serve(10, `{}`) // ordinary use up to the high-water mark
	}
	if n, _ := clients[2].serve(5, `{}`); n > 2 {
		t.Errorf("%d of 5 ordinary requests served above the high-water mark, want at most 2", n)
	}
	eventually(t, "the window is open at all gateways", func() bool {
		return fleet.reservationOpen(0) && fleet.reservationOpen(1) && fleet.reservationOpen(2)
	})
	used := 0.0
	spend := func(c *client, n int) (last string) {
		got, last := c.serve(n, `{"reserved":true,"units":2}`)
		used += 2 * float64(got)
		return last
	}
	if last := spend(clients[0], 3); used != 6 {
		t.Fatalf("%v reserved units used, want 6; last answer %s", used, last)
	}
	// A kill with no request in flight loses no tokens and creates none.
	fleet.processes[0].Signal(syscall.SIGKILL)
	spend(clients[1], 4)
	err = fleet.reserve(1, 8, 1, now.Add(30*time.Second), now.Add(60*time.Second))
	if err == nil || !strings.Contains(err.Error(), "no answer of gateway 0") {
		t.Errorf("reservation without the gateway that accepts them is answered %v, want which one is missing", err)
	}
	fleet.start(0)
	clients[0] = fleet.dialAt(0, "poor")
	var last string
	for i := range 3 {
		last = spend(clients[i], 15)
	}
	if used != units {
		t.Errorf("%v units used, want %v", used, units)
	}
	if !strings.Contains(last, `"reason":"reserve_s`) || !strings.Contains(last, `retry_after_ms`) {
		t.Errorf("last answer is %s, want a rejection because the reservation is spent", last)
	}
	_, last = fleet.dialAt(1, fleet.key).serve(1, `{"reserved":true}`)
	if !strings.Contains(last, `"reason":"reserve_none"`) {
		t.Errorf("member without a reservation is answered %s, want reserve_none", last)
	}
	fleet.submit(2, quotaplan.Change{Number: 7, Kind: quotaplan.Cancel, Target: 5})
	fleet.awaitChanges(2)
	if _, last := clients[2].serve(1, `{"reserved":true}`); !strings.Contains(
		last, `"reason":"reserve_none"`) {
		t.Errorf("after the cancellation a reserved request is answered %s, want reserve_none", last)
	}
}

// reserve submits a reservation for member poor to a gateway.
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

// reservationOpen reports whether a gateway has exactly one reservation and its window is open.
func (fleet *testFleet) reservationOpen(rank int) bool {
	s := fleet.state(rank)
	return len(s.Reservations) == 1 && s.Reservations[0].Open
}

// TestPlanLogWriteFailure guards against plan changes that take effect although they are not durable. It
// makes writes to the plan log fail: a change must not count and its submitter must get no answer until the
// log can be written again.
func TestPlanLogWriteFailure(t *testing.T) {
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
		t.Errorf("%d changes count while the log can't be written, want 0", n)
	}
	fs.failWrites.Store(false)
	if err := <-done; err != nil {
		t.Error(err)
	}
	eventually(t, "the log can be written again", func() bool {
		s := gw.State()
		return s.PlanLogFailure == "" && s.PlanChanges == 1
	})
}

// TestDisconnectReleasesReservedUnits guards against reserved units that are lost or created when a client
// disconnects while its requests wait for reserved units or run. No request may be left, and the units must
// still add up.
func TestDisconnectReleasesReservedUnits(t *testing.T) {
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
	eventually(t, "the window is open",
		func() bool { r := g.gateway.State().Reservations; return len(r) == 1 && r[0].Open })
	c := g.dial(g.key)
	for i := range 50 {
		c.send(rpcCall(i, "look", `{"reserved":true,"units":2}`))
	}
	c.conn.Close()
	eventually(t, "no request is open", func() bool {
		s := g.gateway.State()
		return s.OpenRequests == 0 && s.Core.OpenRequests == 0 && s.Reservations[0].InFlight == 0
	})
	r := g.gateway.State().Reservations[0]
	if sum := r.HeldTokens + r.DrawnTokens + r.UsedUnits; math.Abs(sum-1000) > 1e-6 || r.Waiting != 0 {
		t.Errorf("reservation is %+v with %v units, want 1000 and no waiting request", r, sum)
	}
	var e *quotaplan.Error
	_, err = g.gateway.Submit(
		quotaplan.Change{Number: 1, Kind: quotaplan.Terms, Plan: "big", Terms: decide.Plan{}})
	if !errors.As(err, &e) {
		t.Errorf("a number in use is answered %v, want a *quotaplan.Error", err)
	}
}
