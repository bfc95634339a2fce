package gateway

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"winghatch/internal/config"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/wal"
)

// TestMain is also a gateway's program, for tests that stop or kill one.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "gateway" {
		f, err := config.Load(os.Args[2])
		rank, _ := strconv.Atoi(os.Args[3])
		var g *Gateway
		if err == nil {
			g, err = Start(f, Options{Rank: rank})
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		sigs := make(chan os.Signal, 1)
		signal.Notify(sigs, syscall.SIGTERM)
		<-sigs
		g.Drain()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// spawn starts a gateway as a process of its own and waits until it listens.
func spawn(t testing.TB, f *config.Fleet, rank int) *exec.Cmd {
	t.Helper()
	file := filepath.Join(t.TempDir(), "fleet.kdl")
	if err := os.WriteFile(file, config.Format(f), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "gateway", file, strconv.Itoa(rank))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	eventually(t, "the gateway listens", func() bool { return listens(f.Gateways[rank].Listen) })
	return cmd
}

// TestStopped stops a gateway by SIGSTOP and lets it go on: what came meanwhile is judged by its age, by the
// client's own clock. What can't be in time is refused at once and never runs; what came last is served.
func TestStopped(t *testing.T) {
	b := newBench(t, 1, func(f *config.Fleet) { f.Gateways[0].StateAddress = freePort(t) })
	b.gw.Stop()
	p := spawn(t, b.fleet, 0)
	eventually(t, "it has the list", func() bool { return strings.Contains(stateOf(b.fleet, 0), b.nodes[0].Addr()) })
	c := b.dial(b.key)
	began := time.Now()
	send := func(id int, class string) {
		c.send(call(id, class, fmt.Sprintf(`{"at_ms":%g}`, float64(time.Since(began))/1e6)))
	}
	for i := range 20 { // the session learns what a quick call's way takes
		send(i, "look")
		if s := c.read(); !strings.Contains(s, `"result"`) {
			t.Fatal(s)
		}
	}
	ran := b.nodes[0].Completed()
	p.Process.Signal(syscall.SIGSTOP)
	eventually(t, "it stands still", func() bool {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
		return len(f) > 0 && f[0] == "T"
	})
	for i := range 10 {
		send(100+i, "quick")
	}
	time.Sleep(400 * time.Millisecond) // twice the class's deadline: what was sent so far is hopeless
	for i := range 10 {
		send(200+i, "look")
	}
	p.Process.Signal(syscall.SIGCONT)
	old, late := 0, 0
	for range 20 {
		s := c.read()
		switch stale := strings.Contains(s, `"id":10`); {
		case stale && strings.Contains(s, `"message":"refused"`):
			old++
		case stale:
			t.Errorf("a call of 400 ms of age: %s", s)
		case strings.Contains(s, `"result"`):
			late++
		}
	}
	if got := b.nodes[0].Completed() - ran; old != 10 || late == 0 || got > 10 {
		t.Errorf("%d old calls refused, want 10; %d of the last 10 served, want some; %d ran, want 10 at most", old, late, got)
	}
}

func stateOf(f *config.Fleet, rank int) string {
	res, err := http.Get("http://" + f.Gateways[rank].StateAddress + "/state")
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	raw, _ := io.ReadAll(res.Body)
	return string(raw)
}

// TestStartsFromKeptList kills a gateway and starts it again while the list is away: it serves by its last list,
// and slowly. A bucket whose past is unknown counts as half full, a store under a ceiling as empty.
func TestStartsFromKeptList(t *testing.T) {
	kept := filepath.Join(t.TempDir(), "list-%d")
	b := newBench(t, 1, func(f *config.Fleet) {
		f.EndpointListPattern = kept
		f.Decide.Plans[1].Rate, f.Decide.Plans[1].Burst = 0.001, 40
		p := f.Decide.Plans[1]
		p.Name, p.CeilingRate, p.CeilingBurst = "roofed", 0.001, 40
		f.Decide.Plans = append(f.Decide.Plans, p)
		m := f.Members[1]
		m.Name, m.Plan = "roofed", "roofed"
		m.Keys = nil
		m.Keys = append(m.Keys, f.Secret.MemberKeyHasher().Sum([]byte("roofed")))
		f.Members = append(f.Members, m)
	})
	eventually(t, "the list is kept", func() bool {
		u, err := discoveryws.LoadList(strings.ReplaceAll(kept, "%d", "0"))
		return err == nil && len(u.Endpoints) == 1
	})
	b.gw.Stop()
	b.list.Stop()
	p := spawn(t, b.fleet, 0)
	served := func(key string) (n int) {
		c := b.dial(key)
		for i := range 60 {
			c.send(call(i, "look", `{}`))
			if strings.Contains(c.read(), `"result"`) {
				n++
			}
		}
		return n
	}
	eventually(t, "the last list is taken", func() bool { return served(b.key) > 0 })
	if n := served("poor"); n < 15 || n > 21 {
		t.Errorf("after a start %d of 60 are served, want half the mark of 40", n)
	}
	if n := served("roofed"); n > 1 {
		t.Errorf("after a start %d are served under a ceiling, want none", n)
	}
	p.Process.Kill()
	p.Wait()
	spawn(t, b.fleet, 0)
	if n := served("poor"); n > 21 {
		t.Errorf("after another start %d are served, want half the mark at most", n)
	}
}

// TestVanished lets a client vanish without a close, its call open: pings find it and leave others alone.
func TestVanished(t *testing.T) {
	b := newBench(t, 1, func(f *config.Fleet) { f.Caps.PingAfter = 50 * time.Millisecond })
	gone, here := b.dial(b.key), b.dial(b.key)
	b.nodes[0].SetFault(func(x *backend.Fault) { x.Slowdown = 3000 })
	gone.send(call(1, "folio", `{}`))
	eventually(t, "its call is open", func() bool { return b.gw.State().OpenRequests == 1 })
	// here reads, and so answers pings; gone does neither from now on.
	go func() {
		for {
			m, err := here.r.Next()
			if err != nil {
				return
			}
			if m.Opcode.IsControl() {
				here.nc.Write(frame(0xA, string(m.Data)))
			}
		}
	}()
	eventually(t, "the silent session is cut", func() bool { return b.gw.State().FrontendRejections["silent"] == 1 })
	eventually(t, "its call is called off", func() bool { return b.gw.State().OpenRequests == 0 })
	if n := b.gw.frontend.SessionCount(); n != 1 {
		t.Errorf("%d sessions, want the one that answers", n)
	}
}

// TestFloodMemory lets many sessions flood and read nothing: what they hold is bounded by the caps.
func TestFloodMemory(t *testing.T) {
	const sessions, queue = 16, 64 << 10
	b := newBench(t, 1, func(f *config.Fleet) {
		f.Caps.MaxQueuedBytes, f.Caps.MaxInFlightPerSession, f.Caps.WriteTimeout = queue, 50, 20*time.Second
	})
	heap := func() uint64 { // what the collector found alive, without what is made meanwhile and dropped
		runtime.GC()
		m := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(m)
		return m[0].Value.Uint64()
	}
	before := heap()
	pad := strings.Repeat("p", 1000)
	done := make(chan int, sessions)
	for range sessions {
		c := b.dial(b.key)
		go func() {
			n := 0
			for i := range 3000 {
				if _, err := c.nc.Write(frame(1, call(pad+fmt.Sprint(i), "look", `{}`))); err != nil {
					break
				}
				n++
			}
			done <- n
		}()
	}
	most := uint64(0)
	for left := sessions; left > 0; {
		select {
		case <-done:
			left--
		case <-time.After(10 * time.Millisecond):
			most = max(most, heap())
		}
	}
	// Of each session: its queue, its open calls with their work and ids, buffers, and as much for what the nodes'
	// end of this process holds.
	bound := uint64(sessions * 2 * (queue + 50*4<<10 + 64<<10))
	if most > before+bound {
		t.Errorf("%d KiB more heap under a flood of %d sessions, want %d at most", (most-before)>>10, sessions, bound>>10)
	}
	if sent := sessions * 3000 * 1100; uint64(sent) < 2*bound {
		t.Fatalf("the flood of %d bytes is too small to tell", sent)
	}
}

// badDisk is a disk that may be full.
type badDisk struct {
	wal.Disk
	bad      atomic.Bool // a write fails
	readOnly atomic.Bool // so does making a file
}

type badFile struct {
	wal.File
	d *badDisk
}

func (d *badDisk) Create(name string) (wal.File, error) {
	if d.readOnly.Load() {
		return nil, syscall.EROFS
	}
	f, err := d.Disk.Create(name)
	if err != nil {
		return nil, err
	}
	return &badFile{f, d}, nil
}

func (f *badFile) Write(b []byte) (int, error) {
	if f.d.bad.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}
