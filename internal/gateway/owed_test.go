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

// counted is a bench whose gateway exports.
type counted struct {
	*bench
	recv *usagereceiver.Receiver
	fs   *badDisk
}

func newCounted(t *testing.T, change func(*config.Fleet)) *counted {
	dir := t.TempDir()
	recv, err := usagereceiver.Start("127.0.0.1:0", filepath.Join(dir, "events"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(recv.Stop)
	b := newBench(t, 2, func(f *config.Fleet) {
		f.Gateways[0].StateAddress = freePort(t)
		f.StateDirPattern = filepath.Join(dir, "kept-%d")
		f.UsageExport.URL, f.UsageExport.Durability, f.UsageExport.BatchSize, f.UsageExport.Timeout = recv.URL(), wal.SyncAlways, 7, time.Second
		if change != nil {
			change(f)
		}
	})
	x := &counted{b, recv, &badDisk{}}
	b.gw.Stop()
	gw, err := Start(b.fleet, Options{Seed: 1, FS: x.fs})
	if err != nil {
		t.Fatal(err)
	}
	b.gw = gw
	eventually(t, "the list is taken", func() bool { return len(gw.State().Core.Servers) == 2 })
	return x
}

func (x *counted) uses() (out []outbox.UsageData) {
	for _, e := range x.recv.Events() {
		var u outbox.UsageData
		if e.Type == outbox.TypeUsage && json.Unmarshal(e.Data, &u) == nil {
			out = append(out, u)
		}
	}
	return out
}

// TestExport tells of answered, failed, unanswered and moot tries what each is worth.
func TestExport(t *testing.T) {
	x := newCounted(t, nil)
	c := x.dial(x.key)
	if n, last := c.serve(20, `{"units":2,"work":{"true_units":5}}`); n != 20 {
		t.Fatal(last)
	}
	for _, n := range x.nodes {
		n.SetFault(func(t *backend.Fault) { t.ErrorShare = 1 })
	}
	c.serve(1, `{"units":3}`)
	for _, n := range x.nodes {
		n.SetFault(func(t *backend.Fault) { t.ErrorShare, t.Unresponsive = 0, true })
	}
	c.send(call(1, "quick", `{"units":4}`))
	c.read()
	tries := int(x.gw.State().Attempts)
	eventually(t, "all is exported", func() bool { return len(x.uses()) == tries })
	kinds := map[string]int{}
	for _, u := range x.uses() {
		kinds[fmt.Sprint(u.Outcome, " ", u.Units, " ", u.Estimated)]++
		if u.Member != "m" || u.Plan != "big" || u.Server == "" || u.Request == "" {
			t.Errorf("%+v", u)
		}
	}
	want := 2.0
	if x.fleet.Decide.SettledOnResponse {
		want = 5
	}
	if kinds[fmt.Sprint("answered ", want, " false")] != 20 || kinds["error 3 true"] == 0 || kinds["unanswered 4 true"] != 1 {
		t.Errorf("%v", kinds)
	}
	eventually(t, "the receiver's word is noted", func() bool { s := x.gw.State().Usage; return s.Acknowledged > 0 && s.OpenAttempts == 0 })
}

// TestExportDiskFull refuses at once, or serves and tells how much is not covered, while the log can't be written.
func TestExportDiskFull(t *testing.T) {
	for _, policy := range []outbox.Policy{outbox.PolicyReject, outbox.PolicyServe} {
		t.Run(map[outbox.Policy]string{outbox.PolicyReject: "refuse", outbox.PolicyServe: "serve"}[policy], func(t *testing.T) {
			x := newCounted(t, func(f *config.Fleet) { f.UsageExport.OnUnwritable = policy })
			c := x.dial(x.key)
			if n, last := c.serve(5, `{}`); n != 5 {
				t.Fatal(last)
			}
			x.fs.bad.Store(true)
			c.send(call(1, "look", `{}`)) // the first that can't be written; refused, or served
			c.read()
			eventually(t, "the failure is told", func() bool { return x.gw.State().Usage.Failure != "" })
			ran := x.nodes[0].Completed() + x.nodes[1].Completed()
			n, last := c.serve(10, `{"units":2}`)
			ran = x.nodes[0].Completed() + x.nodes[1].Completed() - ran
			if policy == outbox.PolicyReject && (n != 0 || ran != 0 || !strings.Contains(last, `"reason":"export"`)) {
				t.Errorf("%d served, %d ran: %s", n, ran, last)
			}
			if policy == outbox.PolicyServe && n != 10 {
				t.Errorf("%d served: %s", n, last)
			}
			x.fs.bad.Store(false)
			eventually(t, "it works again", func() bool { s := x.gw.State().Usage; return s.Failure == "" && !s.Rejecting })
			if n, last := c.serve(5, `{}`); n != 5 {
				t.Error(last)
			}
			if policy == outbox.PolicyServe {
				eventually(t, "the gap is told", func() bool {
					for _, e := range x.recv.Events() {
						var g outbox.GapData
						if e.Type == outbox.TypeGap && json.Unmarshal(e.Data, &g) == nil && g.Units >= 20 {
							return true
						}
					}
					return false
				})
			}
			eventually(t, "the rest is exported", func() bool { return len(x.uses()) >= 10 })
		})
	}
}

// TestExportBound fills the log while the receiver is away: calls are refused at its bound, memory and disk stay within
// it, and when the receiver is back all is exported and calls are served again.
func TestExportBound(t *testing.T) {
	x := newCounted(t, func(f *config.Fleet) {
		f.UsageExport.MaxLogBytes, f.UsageExport.Durability, f.UsageExport.BatchSize = 1<<20, wal.SyncInterval, 1000
	})
	x.recv.SetFault(func(t *usagereceiver.Fault) { t.Status = 503 })
	c := x.dial(x.key)
	work := `{"work":{"try":"` + strings.Repeat("x", 20) + `"}}`
	served, last := 0, ""
	for !x.gw.State().Usage.Rejecting {
		for i := range 400 {
			c.send(call(i, "look", work))
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
	if s := x.gw.State().Usage; s.Bytes > s.MaxBytes {
		t.Errorf("%d bytes, the bound is %d", s.Bytes, s.MaxBytes)
	}
	x.recv.SetFault(func(t *usagereceiver.Fault) { t.Status = 0 })
	eventually(t, "all is exported", func() bool { return len(x.recv.Events()) == served })
	eventually(t, "there is room again", func() bool { return !x.gw.State().Usage.Rejecting })
	if n, last := c.serve(3, `{}`); n != 3 {
		t.Error(last)
	}
}

// TestDrainExport kills a gateway with tries out and exports what it owes without it.
func TestDrainExport(t *testing.T) {
	x := newCounted(t, nil)
	x.gw.Stop()
	x.recv.SetFault(func(t *usagereceiver.Fault) { t.Status = 503 })
	p := spawn(t, x.fleet, 0)
	eventually(t, "it has the list", func() bool { return strings.Contains(stateOf(x.fleet, 0), x.nodes[1].Addr()) })
	c := x.dial(x.key)
	if n, last := c.serve(10, `{"units":2}`); n != 10 {
		t.Fatal(last)
	}
	for _, n := range x.nodes {
		n.SetFault(func(t *backend.Fault) { t.Unresponsive = true })
	}
	for i := range 3 {
		c.send(call(i, "folio", `{"units":6}`))
	}
	eventually(t, "three are out", func() bool {
		var s State
		json.Unmarshal([]byte(stateOf(x.fleet, 0)), &s)
		return s.Usage != nil && s.Usage.Records >= 1+13+10 // a life, 13 intents, 10 settlements
	})
	p.Process.Signal(syscall.SIGKILL)
	p.Wait()
	ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	if _, err := DrainOutbox(ctx, x.fleet, 0, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("%v, want the receiver's answer", err)
	}
	stop()
	x.recv.SetFault(func(t *usagereceiver.Fault) { t.Status = 0 })
	for range 2 { // a second time there is nothing to tell
		if _, err := DrainOutbox(context.Background(), x.fleet, 0, slog.New(slog.DiscardHandler)); err != nil {
			t.Fatal(err)
		}
	}
	orphans, sized := 0, 0
	for _, u := range x.uses() {
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
	if _, err := DrainOutbox(context.Background(), x.fleet, 4, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("rank 4 is drained")
	}
}

// TestExportReadOnly starts on a disk that takes no file: it refuses, or serves uncovered, and goes on when the disk
// takes them; a place that can't be a directory is an error that names it.
func TestExportReadOnly(t *testing.T) {
	for _, policy := range []outbox.Policy{outbox.PolicyReject, outbox.PolicyServe} {
		x := newCounted(t, func(f *config.Fleet) { f.UsageExport.OnUnwritable = policy })
		x.gw.Stop()
		x.fs.readOnly.Store(true)
		gw, err := Start(x.fleet, Options{Seed: 1, FS: x.fs})
		if err != nil {
			t.Fatal(err)
		}
		x.gw = gw
		eventually(t, "it has the list", func() bool { return len(gw.State().Core.Servers) == 2 })
		c := x.dial(x.key)
		if n, last := c.serve(3, `{}`); n != map[outbox.Policy]int{outbox.PolicyReject: 0, outbox.PolicyServe: 3}[policy] {
			t.Errorf("policy %d: %d served: %s", policy, n, last)
		}
		x.fs.readOnly.Store(false)
		eventually(t, "it works again", func() bool { s := gw.State().Usage; return s.Failure == "" && !s.Rejecting })
		if n, last := c.serve(3, `{}`); n != 3 {
			t.Error(last)
		}
	}
	b := newBench(t, 1, nil)
	b.gw.Stop()
	b.fleet.StateDirPattern = "/dev/null/kept-%d"
	if _, err := Start(b.fleet, Options{Seed: 1}); err == nil || !strings.Contains(err.Error(), "gateway 0: kept:") || !strings.Contains(err.Error(), "/dev/null") {
		t.Errorf("%v, want the place named", err)
	}
}
