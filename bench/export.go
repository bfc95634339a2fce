package main

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/gateway"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/wal"
)

// sink is an accounting that takes everything and keeps nothing, or, while it is down, answers 503.
type sink struct {
	addr  string
	down  atomic.Bool
	bytes atomic.Int64
}

func newSink() (*sink, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &sink{addr: ln.Addr().String()}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		s.bytes.Add(n)
		w.WriteHeader(http.StatusAccepted)
	}))
	return s, nil
}

// exporting writes settings like file's with an export.
func exporting(file, dir, to string, m wal.SyncMode, disk int) (string, error) {
	f, err := config.Load(file)
	if err != nil {
		return "", err
	}
	f.StateDirPattern = filepath.Join(dir, "kept-"+m.String()+"-%d")
	f.UsageExport.URL, f.UsageExport.Durability, f.UsageExport.MaxLogBytes = "http://"+to+"/use", m, disk
	out := filepath.Join(dir, "export-"+m.String()+".kdl")
	return out, os.WriteFile(out, config.Format(f), 0o600)
}

// exports measures the gateway without an export and with one of each durability, in turn.
func exports(dir, file string, warm, span time.Duration) error {
	s, err := newSink()
	if err != nil {
		return err
	}
	files := map[string]string{"off": file}
	for _, m := range []wal.SyncMode{wal.SyncNever, wal.SyncInterval, wal.SyncAlways} {
		if files[m.String()], err = exporting(file, dir, s.addr, m, 2<<30-1); err != nil {
			return err
		}
	}
	if err := inTurn("export", []string{"off", "none", "interval", "each"}, files, warm, span, nil); err != nil {
		return err
	}
	fmt.Printf("fsync of %d bytes on this disk: %v\n\n", 4096, syncTime(dir))
	return nil
}

// measured measures the gateway without measures, with them, and with a receiver that is down.
func measured(dir, file string, warm, span time.Duration) error {
	s, err := newSink()
	if err != nil {
		return err
	}
	files := map[string]string{"off": file}
	f, err := config.Load(file)
	if err != nil {
		return err
	}
	f.Metrics.Enabled, f.Metrics.URL, f.Metrics.Interval, f.Metrics.VersionOne = true, "http://"+s.addr+"/api/v1/write", time.Second, true
	files["on"] = filepath.Join(dir, "measures.kdl")
	if err := os.WriteFile(files["on"], config.Format(f), 0o600); err != nil {
		return err
	}
	files["receiver down"] = files["on"]
	return inTurn("measures each second", []string{"off", "receiver down", "on"}, files, warm, span, func(mode string) { s.down.Store(mode == "receiver down") })
}

// inTurn measures a gateway under settings of several modes, of which the first is what the others are compared with.
func inTurn(what string, modes []string, files map[string]string, warm, span time.Duration, before func(mode string)) error {
	const sessions, outstanding, rounds = 64, 512, 3
	run := func(mode string, f func(c *clients)) error {
		if before != nil {
			before(mode)
		}
		p, err := start("gateway", files[mode], "")
		if err != nil {
			return err
		}
		defer p.stop()
		c, err := dialAll(p.addr, sessions)
		if err != nil {
			return err
		}
		f(c)
		c.close()
		if n := c.bad.Load(); n > 0 {
			return fmt.Errorf("%s %s: %d calls were not served", what, mode, n)
		}
		return nil
	}
	rates := map[string][]int64{}
	for range rounds {
		for _, m := range modes {
			if err := run(m, func(c *clients) { rates[m] = append(rates[m], int64(c.closed(outstanding, warm, span/rounds))) }); err != nil {
				return err
			}
		}
	}
	least := int64(math.MaxInt64)
	for _, m := range modes {
		least = min(least, median(rates[m]))
	}
	at := 0.5 * float64(least)
	tails := map[string]map[float64][]int64{}
	for range rounds {
		for _, m := range modes {
			if err := run(m, func(c *clients) {
				c.open(at, warm, span)
				if tails[m] == nil {
					tails[m] = map[float64][]int64{}
				}
				for _, q := range []float64{50, 99} {
					tails[m][q] = append(tails[m][q], c.hist.ValueAtQuantile(q))
				}
			}); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%s, 64 sessions, 512 calls open; quantiles at %.0f calls a second, half of the slowest's most\n\n", what, at)
	fmt.Printf("| %s | calls/s | to %s | p50 | p99 |\n| --- | --- | --- | --- | --- |\n", what, modes[0])
	for _, m := range modes {
		fmt.Printf("| %s | %d | %.2f | %v | %v |\n", m, median(rates[m]), float64(median(rates[m]))/float64(median(rates[modes[0]])),
			time.Duration(median(tails[m][50])).Round(time.Microsecond), time.Duration(median(tails[m][99])).Round(time.Microsecond))
	}
	fmt.Println()
	return nil
}

func syncTime(dir string) time.Duration {
	f, err := os.Create(filepath.Join(dir, "sync"))
	if err != nil {
		return 0
	}
	defer f.Close()
	began := time.Now()
	const n = 50
	for range n {
		f.Write(make([]byte, 4096))
		f.Sync()
	}
	return (time.Since(began) / n).Round(time.Microsecond)
}

// recovery measures how long a gateway takes to find what it owes, by how much that is.
func recovery(dir string, most int) error {
	fmt.Println("recovery of the export's log, by the tries that the receiver does not have\n\n| tries | bytes | without snapshots | with snapshots |\n| --- | --- | --- | --- |")
	for n := 10_000; n <= most; n *= 10 {
		row := fmt.Sprintf("| %d |", n)
		for _, snaps := range []bool{false, true} {
			kept := filepath.Join(dir, fmt.Sprintf("recover-%d-%t", n, snaps))
			size, err := owe(filepath.Join(kept, "use"), n, snaps)
			if err != nil {
				return err
			}
			if !snaps {
				row += fmt.Sprintf(" %d |", size)
			}
			began := time.Now()
			_, l, rec, err := gateway.OpenOutbox(gateway.OutboxOptions{Export: config.UsageExport{}, Dir: kept, Incarnation: 1 << 62,
				WallClock: func() int64 { return 1 }, Log: slog.New(slog.DiscardHandler)}, nil, nil, nil)
			if err != nil {
				return err
			}
			row += fmt.Sprintf(" %v (%d records read) |", time.Since(began).Round(time.Millisecond), rec.Records)
			l.Close()
			os.RemoveAll(kept)
		}
		fmt.Println(row)
	}
	fmt.Println()
	return nil
}

// owe fills a log with settled tries of which the receiver has none.
func owe(dir string, n int, snaps bool) (int64, error) {
	l, _, err := wal.Open(dir, wal.Options{Mode: wal.SyncNever, RetainFrom: func() uint64 { return 1 }}, nil, nil)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	d := outbox.New(outbox.Settings{Incarnation: 1})
	do := func(acts []outbox.Action) error {
		for _, a := range acts {
			a, ok := a.(outbox.Append)
			if !ok {
				continue
			}
			no, err := l.Append(a.Payload)
			for err == wal.ErrBusy {
				time.Sleep(time.Millisecond)
				no, err = l.Append(a.Payload)
			}
			if err != nil {
				return err
			}
			d.Handle(outbox.Appended{ID: a.ID, Record: no})
		}
		return nil
	}
	if err := do(d.Start(1)); err != nil {
		return 0, err
	}
	t := outbox.Attempt{Request: "0-18ed2c564500847d-5i", Member: "editorial", Plan: "imprenta", Class: "order-submit", Server: "127.0.0.1:12345", Units: 1}
	for i := 1; i <= n; i++ {
		if err := do(d.Handle(outbox.RecordIntent{ID: outbox.ID(i), HasRoom: true, Attempt: t})); err != nil {
			return 0, err
		}
		if err := do(d.Handle(outbox.Settle{ID: outbox.ID(i), Outcome: outbox.OutcomeAnswered, UsedUnits: 2, WallTime: 1})); err != nil {
			return 0, err
		}
		if snaps && i%25000 == 0 {
			if err := l.Sync(time.Minute); err != nil {
				return 0, err
			}
			if err := l.Snapshot(l.NextNumber()-1, d.Snapshot()); err != nil {
				return 0, err
			}
		}
	}
	if err := l.Sync(time.Minute); err != nil {
		return 0, err
	}
	return l.Size(), nil
}

// outage holds a load while the receiver is down and tells what the gateway's process takes of memory and disk.
func outage(dir, file string, rate float64, span time.Duration) error {
	s, err := newSink()
	if err != nil {
		return err
	}
	with, err := exporting(file, dir, s.addr, wal.SyncInterval, 2<<30-1)
	if err != nil {
		return err
	}
	p, err := start("gateway", with, "")
	if err != nil {
		return err
	}
	defer p.stop()
	var served int64
	var last *clients
	load := func(warm, span time.Duration) error {
		c, err := dialAll(p.addr, 64)
		if err != nil {
			return err
		}
		c.open(rate, warm, span)
		c.close()
		served, last = served+c.done.Load(), c
		return nil
	}
	fmt.Printf("%.0f calls a second, the receiver down from the second row on and back before the last\n\n", rate)
	fmt.Println("| after | heap and stacks | log on disk | calls served | p99 |\n| --- | --- | --- | --- | --- |")
	row := func(at time.Duration) error {
		u, err := p.ask()
		if err != nil {
			return err
		}
		fmt.Printf("| %v | %.1f MiB | %.1f MiB | %d | %v |\n", at.Round(time.Second), float64(u.Heap)/(1<<20), float64(size(filepath.Join(dir, "kept-interval-0")))/(1<<20),
			served, time.Duration(last.hist.ValueAtQuantile(99)).Round(time.Microsecond))
		return nil
	}
	began := time.Now()
	if err := load(time.Second, 3*time.Second); err != nil {
		return err
	}
	if err := row(time.Since(began)); err != nil {
		return err
	}
	s.down.Store(true)
	const rows = 6
	for range rows {
		if err := load(0, span/rows); err != nil {
			return err
		}
		if err := row(time.Since(began)); err != nil {
			return err
		}
	}
	s.down.Store(false)
	before := size(filepath.Join(dir, "kept-interval-0"))
	back := time.Now()
	for time.Since(back) < span && size(filepath.Join(dir, "kept-interval-0")) > before/4 {
		if err := load(0, time.Second); err != nil {
			return err
		}
	}
	if err := row(time.Since(began)); err != nil {
		return err
	}
	fmt.Printf("\nthe log shrank to a quarter within %v of the receiver's return\n\n", time.Since(back).Round(time.Second))
	return nil
}

func size(dir string) (n int64) {
	filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
		if err == nil && !i.IsDir() {
			n += i.Size()
		}
		return nil
	})
	return n
}
