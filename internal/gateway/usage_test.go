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

// usageTest is a gateway that exports usage to a receiver and keeps its state on a disk that can fail.
type usageTest struct {
	*testGateway
	receiver *usagereceiver.Receiver
	fs       *faultyDisk
}

// newUsageTest starts a gateway that exports usage. If change is not nil, it changes the settings first.
func newUsageTest(t *testing.T, change func(*config.Fleet)) *usageTest {
	t.Helper()
	dir := t.TempDir()
	receiver, err := usagereceiver.Start("127.0.0.1:0", filepath.Join(dir, "events"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(receiver.Stop)
	g := newTestGateway(t, 2, func(f *config.Fleet) {
		f.Gateways[0].StateAddress = freePort(t)
		f.StateDirPattern = filepath.Join(dir, "kept-%d")
		f.UsageExport.URL, f.UsageExport.Timeout = receiver.URL(), time.Second
		f.UsageExport.Durability, f.UsageExport.BatchSize = wal.SyncAlways, 7
		if change != nil {
			change(f)
		}
	})
	u := &usageTest{g, receiver, &faultyDisk{}}
	g.gateway.Stop()
	gw, err := Start(g.fleet, Options{Seed: 1, FS: u.fs})
	if err != nil {
		t.Fatal(err)
	}
	g.gateway = gw
	eventually(t, "the gateway has the endpoint list",
		func() bool { return len(gw.State().Core.Servers) == 2 })
	return u
}

// usage returns the usage of attempts that the receiver has.
func (u *usageTest) usage() (usage []outbox.UsageData) {
	for _, e := range u.receiver.Events() {
		var data outbox.UsageData
		if e.Type == outbox.TypeUsage && json.Unmarshal(e.Data, &data) == nil {
			usage = append(usage, data)
		}
	}
	return usage
}

// TestUsageExport guards against usage that is lost, exported twice or exported with wrong units. Attempts
// are answered, fail or get no answer: the receiver must have each one once, with the reported units or the
// estimate.
func TestUsageExport(t *testing.T) {
	u := newUsageTest(t, nil)
	c := u.dial(u.key)
	if n, last := c.serve(20, `{"units":2,"work":{"true_units":5}}`); n != 20 {
		t.Fatal(last)
	}
	for _, server := range u.servers {
		server.SetFault(func(fault *backend.Fault) { fault.ErrorShare = 1 })
	}
	c.serve(1, `{"units":3}`)
	for _, server := range u.servers {
		server.SetFault(func(fault *backend.Fault) { fault.ErrorShare, fault.Unresponsive = 0, true })
	}
	c.send(rpcCall(1, "quick", `{"units":4}`))
	c.read()
	attempts := int(u.gateway.State().Attempts)
	eventually(t, "all usage is exported", func() bool { return len(u.usage()) == attempts })
	kinds := map[string]int{}
	for _, usage := range u.usage() {
		kinds[fmt.Sprint(usage.Outcome, " ", usage.Units, " ", usage.Estimated)]++
		if usage.Member != "m" || usage.Plan != "big" || usage.Server == "" || usage.Request == "" {
			t.Errorf("usage %+v, want member m, plan big, a server and a request", usage)
		}
	}
	want := 2.0
	if u.fleet.Decide.SettledOnResponse {
		want = 5
	}
	if kinds[fmt.Sprint("answered ", want, " false")] != 20 || kinds["error 3 true"] == 0 ||
		kinds["unanswered 4 true"] != 1 {
		t.Errorf("attempts are %v, want 20 answered, some error 3 true, one unanswered 4 true", kinds)
	}
	eventually(t, "the outbox has the acknowledgement", func() bool {
		s := u.gateway.State().Usage
		return s.Acknowledged > 0 && s.OpenAttempts == 0
	})
}

// TestUsageExportDiskFull guards against usage that goes unrecorded without notice while the outbox log can't
// be written. Depending on the policy, requests must be rejected at once, or be served and added up as a gap,
// which the receiver must get once the log works again.
func TestUsageExportDiskFull(t *testing.T) {
	for _, policy := range []outbox.Policy{outbox.PolicyReject, outbox.PolicyServe} {
		name := map[outbox.Policy]string{outbox.PolicyReject: "refuse", outbox.PolicyServe: "serve"}[policy]
		t.Run(name, func(t *testing.T) {
			u := newUsageTest(t, func(f *config.Fleet) { f.UsageExport.OnUnwritable = policy })
			c := u.dial(u.key)
			if n, last := c.serve(5, `{}`); n != 5 {
				t.Fatal(last)
			}
			u.fs.failWrites.Store(true)
			// The intent of this request is the first that can't be written; it may be rejected or served.
			c.send(rpcCall(1, "look", `{}`))
			c.read()
			eventually(t, "the failure is reported",
				func() bool { return u.gateway.State().Usage.Failure != "" })
			ran := u.completed()
			n, last := c.serve(10, `{"units":2}`)
			ran = u.completed() - ran
			if policy == outbox.PolicyReject &&
				(n != 0 || ran != 0 || !strings.Contains(last, `"reason":"export"`)) {
				t.Errorf("%d served and %d run, want none; last answer %s", n, ran, last)
			}
			if policy == outbox.PolicyServe && n != 10 {
				t.Errorf("%d served, want 10; last answer %s", n, last)
			}
			u.fs.failWrites.Store(false)
			eventually(t, "the log can be written again", func() bool {
				s := u.gateway.State().Usage
				return s.Failure == "" && !s.Rejecting
			})
			if n, last := c.serve(5, `{}`); n != 5 {
				t.Error(last)
			}
			if policy == outbox.PolicyServe {
				eventually(t, "the receiver has the gap", func() bool {
					for _, e := range u.receiver.Events() {
						var g outbox.GapData
						if e.Type == outbox.TypeGap && json.Unmarshal(e.Data, &g) == nil && g.Units >= 20 {
							return true
						}
					}
					return false
				})
			}
			eventually(t, "the other usage is exported", func() bool { return len(u.usage()) >= 10 })
		})
	}
}

// TestUsageExportLogBound guards against an outbox log that outgrows its bound, or that never recovers from
// being full. It fills the log while the receiver is unavailable: requests must be rejected at the bound, and
// memory and disk must stay within it. When the receiver is back, everything must be exported and requests
// must be served again.
func TestUsageExportLogBound(t *testing.T) {
	u := newUsageTest(t, func(f *config.Fleet) {
		f.UsageExport.MaxLogBytes, f.UsageExport.Durability, f.UsageExport.BatchSize =
			1<<20, wal.SyncInterval, 1000
	})
	u.receiver.SetFault(func(fault *usagereceiver.Fault) { fault.Status = 503 })
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
		t.Errorf("%d served at the bound, want none; last answer %s", n, last)
	}
	if s := u.gateway.State().Usage; s.Bytes > s.MaxBytes {
		t.Errorf("log has %d bytes, want at most %d", s.Bytes, s.MaxBytes)
	}
	u.receiver.SetFault(func(fault *usagereceiver.Fault) { fault.Status = 0 })
	t.Cleanup(func() {
		if t.Failed() {
			s := u.gateway.State()
			t.Logf("%d events, %d served; attempts %v; usage %+v",
				len(u.receiver.Events()), served, s.Outcomes, s.Usage)
		}
	})
	// A retried request has an event for each attempt that may have run.
	eventually(t, "all usage is exported", func() bool {
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
	eventually(t, "the log has room again", func() bool { return !u.gateway.State().Usage.Rejecting })
	if n, last := c.serve(3, `{}`); n != 3 {
		t.Error(last)
	}
}

// TestDrainOutboxAfterKill guards against usage that is lost with a gateway that never returns. It kills a
// gateway with attempts in flight and exports the remaining usage without it, once the receiver works.
func TestDrainOutboxAfterKill(t *testing.T) {
	u := newUsageTest(t, nil)
	u.gateway.Stop()
	u.receiver.SetFault(func(fault *usagereceiver.Fault) { fault.Status = 503 })
	cmd := spawn(t, u.fleet, 0)
	eventually(t, "the gateway has the endpoint list",
		func() bool { return strings.Contains(stateOf(u.fleet, 0), u.servers[1].Addr()) })
	c := u.dial(u.key)
	if n, last := c.serve(10, `{"units":2}`); n != 10 {
		t.Fatal(last)
	}
	for _, server := range u.servers {
		server.SetFault(func(fault *backend.Fault) { fault.Unresponsive = true })
	}
	for i := range 3 {
		c.send(rpcCall(i, "folio", `{"units":6}`))
	}
	eventually(t, "three attempts are in flight", func() bool {
		var s State
		json.Unmarshal([]byte(stateOf(u.fleet, 0)), &s)
		return s.Usage != nil && s.Usage.Records >= 1+13+10 // a start, 13 intents, 10 settlements
	})
	cmd.Process.Signal(syscall.SIGKILL)
	cmd.Wait()
	ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	_, err := DrainOutbox(ctx, u.fleet, 0, slog.New(slog.DiscardHandler))
	if err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("error is %v, want the status of the receiver, 503", err)
	}
	stop()
	u.receiver.SetFault(func(fault *usagereceiver.Fault) { fault.Status = 0 })
	for range 2 { // the second call has nothing to deliver
		if _, err := DrainOutbox(
			context.Background(), u.fleet, 0, slog.New(slog.DiscardHandler)); err != nil {
			t.Fatal(err)
		}
	}
	estimated, answered := 0, 0
	for _, usage := range u.usage() {
		switch {
		case usage.Outcome == outbox.OutcomeGatewayEnded.String() && usage.Units == 6 && usage.Estimated:
			estimated++
		case usage.Outcome == outbox.OutcomeAnswered.String() && usage.Units == 2:
			answered++
		default:
			t.Errorf("usage %+v, want a gateway_ended estimate of 6 units or an answer of 2 units", usage)
		}
	}
	if estimated != 3 || answered != 10 {
		t.Errorf("%d estimated and %d answered attempts, want 3 and 10", estimated, answered)
	}
	if _, err := DrainOutbox(context.Background(), u.fleet, 4, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("DrainOutbox accepted rank 4, want an error")
	}
}

// TestUsageExportReadOnlyDisk guards against a gateway that does not start, or never recovers, if its disk is
// read-only. It starts on a disk on which no file can be created: depending on the policy, the gateway must
// reject requests, or serve them without recording usage, and recover when files can be created. A state
// directory that can't exist must cause an error that names it.
func TestUsageExportReadOnlyDisk(t *testing.T) {
	for _, policy := range []outbox.Policy{outbox.PolicyReject, outbox.PolicyServe} {
		u := newUsageTest(t, func(f *config.Fleet) { f.UsageExport.OnUnwritable = policy })
		u.gateway.Stop()
		u.fs.readOnly.Store(true)
		gw, err := Start(u.fleet, Options{Seed: 1, FS: u.fs})
		if err != nil {
			t.Fatal(err)
		}
		u.gateway = gw
		eventually(t, "the gateway has the endpoint list",
			func() bool { return len(gw.State().Core.Servers) == 2 })
		c := u.dial(u.key)
		want := map[outbox.Policy]int{outbox.PolicyReject: 0, outbox.PolicyServe: 3}[policy]
		if n, last := c.serve(3, `{}`); n != want {
			t.Errorf("policy %d: %d of 3 requests served; last answer %s", policy, n, last)
		}
		u.fs.readOnly.Store(false)
		eventually(t, "the log can be written again",
			func() bool { s := gw.State().Usage; return s.Failure == "" && !s.Rejecting })
		if n, last := c.serve(3, `{}`); n != 3 {
			t.Error(last)
		}
	}
	g := newTestGateway(t, 1, nil)
	g.gateway.Stop()
	g.fleet.StateDirPattern = "/dev/null/kept-%d"
	_, err := Start(g.fleet, Options{Seed: 1})
	if err == nil || !strings.Contains(err.Error(), "gateway 0: kept:") ||
		!strings.Contains(err.Error(), "/dev/null") {
		t.Errorf("error is %v, want it to name gateway 0, kept and /dev/null", err)
	}
}
