package platform

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A list of 3,200 servers with the longest names is read, however it is indented.
func TestTheLargestListIsRead(t *testing.T) {
	const servers = 3200
	for _, indent := range []string{"", "  ", "        ", strings.Repeat("\t", 64)} {
		t.Run(fmt.Sprintf("indent %d", len(indent)), func(t *testing.T) {
			w, _ := run(t)
			serves := newCounter(t)
			d := newDiscovery()
			d.indent = indent
			all := []map[string]any{target("serves", serves.addr, "ready", 0)}
			for i := range servers - 1 {
				all = append(all, target(fmt.Sprintf("s%d-%s", i, strings.Repeat("x", 240)), serves.addr, "ready", 0))
			}
			d.set(all...)
			w.config(d.serve(t))
			w.proc.Process.Signal(syscall.SIGHUP)
			w.until("a server of the large list serves", func() bool {
				w.dial().ask(fmt.Sprint("t", time.Now().UnixNano()))
				return serves.since(time.Time{}) > 0
			})
		})
	}
}

// A configuration that is half written as its signal comes is followed once it is whole, with no further signal, and a stop
// is heard meanwhile.
func TestAConfigurationThatIsWholeAfterItsSignal(t *testing.T) {
	w, _ := run(t)
	told := make(chan string, 1000)
	next := agent(t, w.addr, told)
	w.config(next)
	whole, err := os.ReadFile(w.file)
	if err != nil {
		t.Fatal(err)
	}
	for _, wait := range []time.Duration{50 * time.Millisecond, 1500 * time.Millisecond} {
		for len(told) > 0 {
			<-told
		}
		w.config("127.0.0.1:1")
		w.proc.Process.Signal(syscall.SIGHUP)
		w.until("the dead address is followed", func() bool { return w.logged("to=127.0.0.1:1") })
		os.WriteFile(w.file, whole[:len(whole)/2], 0o600)
		w.proc.Process.Signal(syscall.SIGHUP)
		time.Sleep(wait)
		os.WriteFile(w.file, whole, 0o600)
		select {
		case <-told:
		case <-time.After(2 * time.Second):
			t.Fatalf("whole after %v: the new list is not asked", wait)
		}
	}
	os.WriteFile(w.file, whole[:len(whole)/2], 0o600)
	w.proc.Process.Signal(syscall.SIGHUP)
	w.proc.Process.Signal(syscall.SIGTERM)
	w.end(5 * time.Second)
}

// A stop is heard behind any number of new configurations.
func TestAStopBehindManyConfigurations(t *testing.T) {
	w, _ := run(t)
	w.hold(least(50*time.Millisecond), func() {
		for range 500 {
			w.proc.Process.Signal(syscall.SIGHUP)
		}
	})
	for range 500 {
		w.proc.Process.Signal(syscall.SIGHUP)
	}
	w.proc.Process.Signal(syscall.SIGTERM)
	for range 500 {
		w.proc.Process.Signal(syscall.SIGHUP)
	}
	w.end(5 * time.Second)
}

// A drain counts as told 6 s after discovery had it, however late discovery answers or takes connections up.
func TestADrainToldByASlowDiscovery(t *testing.T) {
	const told = 6 * time.Second
	for _, c := range []struct {
		name           string
		late, lateOpen time.Duration
	}{{"late answers", 1300 * time.Millisecond, 0}, {"late connections", 0, 1100 * time.Millisecond},
		{"both", 1300 * time.Millisecond, 1100 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t)
			d := p.d
			d.mu.Lock()
			d.late, d.lateOpen = c.late, c.lateOpen
			had := len(d.asked)
			d.mu.Unlock()
			p.until("a call that is answered late is under way", func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return len(d.asked) >= had+2
			})
			time.Sleep(1500 * time.Millisecond) // in the middle of a call: its answer would come behind its time-out
			at := time.Now()
			p.drain()
			p.keepsDrain(at.Add(told))
		})
	}
}

// What discovery has to tell counts as told 4 s after SIGHUP named it, though it is slow and the process is held up.
func TestADrainToldBySlowDiscoveryBehindASignal(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	next := newDiscovery()
	next.late, next.lateOpen = 1300*time.Millisecond, 1100*time.Millisecond
	next.set(target("stays", p.stays.addr, "ready", 0), target("drains", p.drains.addr, "draining", 0))
	p.config(next.serve(t))
	at := time.Now()
	p.hold(least(150*time.Millisecond), func() { p.proc.Process.Signal(syscall.SIGHUP) })
	p.keepsDrain(at.Add(4 * time.Second))
}

// A discovery that holds still for long and then takes new calls alone is heard within 6 s of its return, without a signal.
func TestADrainToldBehindALongSilence(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	late := func(d time.Duration) {
		p.d.mu.Lock()
		p.d.late = d
		p.d.mu.Unlock()
	}
	late(time.Hour) // calls that it takes now are never answered
	time.Sleep(8 * time.Second)
	p.drain()
	late(0)
	p.keepsDrain(time.Now().Add(6 * time.Second))
}
