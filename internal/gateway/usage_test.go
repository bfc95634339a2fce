package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/usagereceiver"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/wal"
)

// usageTest is a gateway that exports usage, on a disk that may fail, with its receiver.
type usageTest struct {
	*testGateway
	receiver *usagereceiver.Receiver
	fs       *faultyDisk
}

func newUsageTest(t *testing.T, change func(*config.Fleet)) *usageTest {
	t.Helper()
	dir := t.TempDir()
	recv, err := usagereceiver.Start("127.0.0.1:0", filepath.Join(dir, "events"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(recv.Stop)
	g := newTestGateway(t, 2, func(f *config.Fleet) {
		f.Gateways[0].StateAddress = freePort(t)
		f.StateDirPattern = filepath.Join(dir, "kept-%d")
		f.UsageExport.URL, f.UsageExport.Timeout = recv.URL(), time.Second
		f.UsageExport.Durability, f.UsageExport.BatchSize = wal.SyncAlways, 7
		if change != nil {
			change(f)
		}
	})
	u := &usageTest{g, recv, &faultyDisk{}}
	g.gateway.Stop()
	gw, err := Start(g.fleet, Options{Seed: 1, FS: u.fs})
	if err != nil {
		t.Fatal(err)
	}
	g.gateway = gw
	eventually(t, "the list is taken", func() bool { return len(gw.State().Core.Servers) == 2 })
	return u
}

// usage returns what the receiver has of attempts.
func (u *usageTest) usage() (usage []outbox.UsageData) {
	for _, e := range u.receiver.Events() {
		var data outbox.UsageData
		if e.Type == outbox.TypeUsage && json.Unmarshal(e.Data, &data) == nil {
			usage = append(usage, data)
		}
	}
	return usage
}

// TestExport has attempts answered, failed and unanswered: the receiver has each once, at the reported units or the
// estimate.
func TestExport(t *testing.T) {
	u := newUsageTest(t, nil)
	c := u.dial(u.key)
	if n, last := c.serve(20, `{"units":2,"work":{"true_units":5}}`); n != 20 {
		t.Fatal(last)
	}
	for _, n := range u.servers {
		n.SetFault(func(t *backend.Fault) { t.ErrorShare = 1 })
	}
	c.serve(1, `{"units":3}`)
	for _, n := range u.servers {
		n.SetFault(func(t *backend.Fault) { t.ErrorShare, t.Unresponsive = 0, true })
	}
	c.send(rpcCall(1, "quick", `{"units":4}`))
	c.read()
	attempts := int(u.gateway.State().Attempts)
	eventually(t, "all is exported", func() bool { return len(u.usage()) == attempts })
	kinds := map[string]int{}
	for _, u := range u.usage() {
		kinds[fmt.Sprint(u.Outcome, " ", u.Units, " ", u.Estimated)]++
		if u.Member != "m" || u.Plan != "big" || u.Server == "" || u.Request == "" {
			t.Errorf("%+v", u)
		}
	}
	want := 2.0
	if u.fleet.Decide.SettledOnResponse {
		want = 5
	}
	if kinds[fmt.Sprint("answered ", want, " false")] != 20 || kinds["error 3 true"] == 0 ||
		kinds["unanswered 4 true"] != 1 {
		t.Errorf("%v", kinds)
	}
	eventually(t, "the acknowledgement is noted", func() bool {
		s := u.gateway.State().Usage
		return s.Acknowledged > 0 && s.OpenAttempts == 0
	})
}

// TestExportDiskFull makes writes to the outbox log fail. By the policy requests are rejected at once, or served and
// added up as a gap, which the receiver has once the log works again.
func TestExportDiskFull(t *testing.T) {
	for _, policy := range []outbox.Policy{outbox.PolicyReject, outbox.PolicyServe} {
		name := map[outbox.Policy]string{outbox.PolicyReject: "refuse", outbox.PolicyServe: "serve"}[policy]
		t.Run(name, func(t *testing.T) {
			u := newUsageTest(t, func(f *config.Fleet) { f.UsageExport.OnUnwritable = policy })
			c := u.dial(u.key)
			if n, last := c.serve(5, `{}`); n != 5 {
				t.Fatal(last)
			}
			u.fs.failWrites.Store(true)
			c.send(rpcCall(1, "look", `{}`)) // the first whose intent can't be written; rejected or served
			c.read()
			eventually(t, "the failure is reported", func() bool { return u.gateway.State().Usage.Failure != "" })
			ran := u.completed()
			n, last := c.serve(10, `{"units":2}`)
			ran = u.completed() - ran
			if policy == outbox.PolicyReject && (n != 0 || ran != 0 || !strings.Contains(last, `"reason":"export"`)) {
				t.Errorf("%d served, %d ran: %s", n, ran, last)
			}
			if policy == outbox.PolicyServe && n != 10 {
				t.Errorf("%d served: %s", n, last)
			}
			u.fs.failWrites.Store(false)
			eventually(t, "it works again", func() bool {
				s := u.gateway.State().Usage
				return s.Failure == "" && !s.Rejecting
			})
			if n, last := c.serve(5, `{}`); n != 5 {
				t.Error(last)
			}
			if policy == outbox.PolicyServe {
				eventually(t, "the gap is reported", func() bool {
					for _, e := range u.receiver.Events() {
						var g outbox.GapData
						if e.Type == outbox.TypeGap && json.Unmarshal(e.Data, &g) == nil && g.Units >= 20 {
							return true
						}
					}
					return false
				})
			}
			eventually(t, "the rest is exported", func() bool { return len(u.usage()) >= 10 })
		})
	}
}

// TestExportBound fills the log while the receiver is away: calls are refused at its bound, memory and disk stay within
// it, and when the receiver is back all is exported and calls are served again.
func TestExportBound(t *testing.T) {
	u := newUsageTest(t, func(f *config.Fleet) {
		f.UsageExport.MaxLogBytes, f.UsageExport.Durability, f.UsageExport.BatchSize = 1<<20, wal.SyncInterval, 1000
	})
	u.receiver.SetFault(func(t *usagereceiver.Fault) { t.Status = 503 })
	c := u.dial(u.key)
	work := `{"work":{"try":"` + strings.Repeat("x", 20) + `"}}`
	served, last := 0, ""
	for !u.gateway.State().Usage.Rejecting {
		for i := range 400 {
			c.send(rpcCall(i, "look", work))
		}
		for range 400 {
			if last = c.read(); strings.Contains(last, `"result"`) {
				served++
			}
		}
	}
	if n, last := c.serve(3, `{}`); n > 0 || !strings.Contains(last, `"reason":"export"`) {
		t.Errorf("%d served over the bound: %s", n, last)
	}
	if s := u.gateway.State().Usage; s.Bytes > s.MaxBytes {
		t.Errorf("%d bytes, the bound is %d", s.Bytes, s.MaxBytes)
	}
	u.receiver.SetFault(func(t *usagereceiver.Fault) { t.Status = 0 })
	t.Cleanup(func() {
		if t.Failed() {
			s := u.gateway.State()
			t.Logf("%d events, %d served; attempts %v; usage %+v", len(u.receiver.Events()), served, s.Outcomes,
				s.Usage)
		}
	})
	// A request that was retried has an event for each attempt that may have run.
	eventually(t, "all is exported", func() bool {
		outcomes := u.gateway.State().Outcomes
		mayHaveRun, answered := 0, 0
		for outcome, n := range outcomes {
			if outcome != "full" && outcome != "no_connection" && outcome != "moot" {
				mayHaveRun += int(n)
			}
		}
		for _, attempt := range u.usage() {
			if attempt.Outcome == outbox.OutcomeAnswered.String() {
				answered++
			}
		}
		return len(u.receiver.Events()) == mayHaveRun && answered == int(outcomes["ok"]) && answered >= served
	})
	eventually(t, "there is room again", func() bool { return !u.gateway.State().Usage.Rejecting })
	if n, last := c.serve(3, `{}`); n != 3 {
		t.Error(last)
	}
}

// TestDrainExport kills a gateway with attempts in flight and exports what it owes without it, once the receiver works.
func TestDrainExport(t *testing.T) {
	u := newUsageTest(t, nil)
	u.gateway.Stop()
	u.receiver.SetFault(func(t *usagereceiver.Fault) { t.Status = 503 })
	p := spawn(t, u.fleet, 0)
	eventually(t, "it has the list", func() bool { return strings.Contains(stateOf(u.fleet, 0), u.servers[1].Addr()) })
	c := u.dial(u.key)
	if n, last := c.serve(10, `{"units":2}`); n != 10 {
		t.Fatal(last)
	}
	for _, n := range u.servers {
		n.SetFault(func(t *backend.Fault) { t.Unresponsive = true })
	}
	for i := range 3 {
		c.send(rpcCall(i, "folio", `{"units":6}`))
	}
	eventually(t, "three are out", func() bool {
		var s State
		json.Unmarshal([]byte(stateOf(u.fleet, 0)), &s)
		return s.Usage != nil && s.Usage.Records >= 1+13+10 // a start, 13 intents, 10 settlements
	})
	p.Process.Signal(syscall.SIGKILL)
	p.Wait()
	ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	_, err := DrainOutbox(ctx, u.fleet, 0, slog.New(slog.DiscardHandler))
	if err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("%v, want the receiver's answer", err)
	}
	stop()
	u.receiver.SetFault(func(t *usagereceiver.Fault) { t.Status = 0 })
	for range 2 { // the second time there is nothing to deliver
		if _, err := DrainOutbox(context.Background(), u.fleet, 0, slog.New(slog.DiscardHandler)); err != nil {
			t.Fatal(err)
		}
	}
	orphans, sized := 0, 0
	for _, u := range u.usage() {
		switch {
		case u.Outcome == outbox.OutcomeGatewayEnded.String() && u.Units == 6 && u.Estimated:
			orphans++
		case u.Outcome == outbox.OutcomeAnswered.String() && u.Units == 2:
			sized++
		default:
			t.Errorf("%+v", u)
		}
	}
	if orphans != 3 || sized != 10 {
		t.Errorf("%d orphans, %d sized, want 3 and 10", orphans, sized)
	}
	if _, err := DrainOutbox(context.Background(), u.fleet, 4, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("rank 4 is drained")
	}
}

// TestExportReadOnly starts on a disk that takes no file: it refuses, or serves uncovered, and goes on when the disk
// takes them; a place that can't be a directory is an error that names it.
func TestExportReadOnly(t *testing.T) {
	for _, policy := range []outbox.Policy{outbox.PolicyReject, outbox.PolicyServe} {
		u := newUsageTest(t, func(f *config.Fleet) { f.UsageExport.OnUnwritable = policy })
		u.gateway.Stop()
		u.fs.readOnly.Store(true)
		gw, err := Start(u.fleet, Options{Seed: 1, FS: u.fs})
		if err != nil {
			t.Fatal(err)
		}
		u.gateway = gw
		eventually(t, "it has the list", func() bool { return len(gw.State().Core.Servers) == 2 })
		c := u.dial(u.key)
		want := map[outbox.Policy]int{outbox.PolicyReject: 0, outbox.PolicyServe: 3}[policy]
		if n, last := c.serve(3, `{}`); n != want {
			t.Errorf("policy %d: %d served: %s", policy, n, last)
		}
		u.fs.readOnly.Store(false)
		eventually(t, "it works again", func() bool { s := gw.State().Usage; return s.Failure == "" && !s.Rejecting })
		if n, last := c.serve(3, `{}`); n != 3 {
			t.Error(last)
		}
	}
	g := newTestGateway(t, 1, nil)
	g.gateway.Stop()
	g.fleet.StateDirPattern = "/dev/null/kept-%d"
	_, err := Start(g.fleet, Options{Seed: 1})
	if err == nil || !strings.Contains(err.Error(), "gateway 0: kept:") || !strings.Contains(err.Error(), "/dev/null") {
		t.Errorf("%v, want the place named", err)
	}
}
