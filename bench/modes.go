package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/wal"
)

// writeExportSettings writes a copy of the settings in file with a usage export to the receiver at
// addr. maxLogBytes is the largest size of the log. It returns the name of the new file, which is in dir.
func writeExportSettings(file, dir, addr string, durability wal.SyncMode, maxLogBytes int) (string, error) {
	f, err := config.Load(file)
	if err != nil {
		return "", err
	}
	f.StateDirPattern = filepath.Join(dir, "kept-"+durability.String()+"-%d")
	f.UsageExport.URL, f.UsageExport.Durability, f.UsageExport.MaxLogBytes =
		"http://"+addr+"/use", durability, maxLogBytes
	out := filepath.Join(dir, "export-"+durability.String()+".kdl")
	return out, os.WriteFile(out, config.Format(f), 0o600)
}

// measureUsageExport compares the gateway without a usage export and with an export of each durability.
func measureUsageExport(dir, file string, warmup, duration time.Duration) error {
	target, err := startReceiver()
	if err != nil {
		return err
	}
	files := map[string]string{"off": file}
	for _, m := range []wal.SyncMode{wal.SyncNever, wal.SyncInterval, wal.SyncAlways} {
		if files[m.String()], err = writeExportSettings(file, dir, target.addr, m, 2<<30-1); err != nil {
			return err
		}
	}
	modes := &comparison{what: "export", modes: []string{"off", "none", "interval", "each"}, files: files}
	if err := modes.measure(warmup, duration); err != nil {
		return err
	}
	fmt.Printf("fsync of %d bytes on this disk: %v\n\n", syncBytes, syncTime(dir))
	return nil
}

// measureMetrics compares the gateway without metrics, with metrics, and with metrics whose receiver is down.
func measureMetrics(dir, file string, warmup, duration time.Duration) error {
	target, err := startReceiver()
	if err != nil {
		return err
	}
	files := map[string]string{"off": file}
	f, err := config.Load(file)
	if err != nil {
		return err
	}
	m := &f.Metrics
	m.Enabled, m.URL, m.Interval, m.VersionOne =
		true, "http://"+target.addr+"/api/v1/write", time.Second, true
	files["on"] = filepath.Join(dir, "measures.kdl")
	if err := os.WriteFile(files["on"], config.Format(f), 0o600); err != nil {
		return err
	}
	files["receiver down"] = files["on"]
	modes := &comparison{what: "measures each second", modes: []string{"off", "receiver down", "on"},
		files: files}
	modes.before = func(mode string) { target.down.Store(mode == "receiver down") }
	return modes.measure(warmup, duration)
}

// These constants define the load under which modes are compared.
const (
	modeSessions  = 64
	modeOpenCalls = 512 // outstanding calls over all sessions
	modeRounds    = 3   // rounds of each mode
)

// comparison measures a gateway with the settings of several modes, in turn. The first mode is the baseline
// of the others.
type comparison struct {
	what   string // what the modes vary, for the output
	modes  []string
	files  map[string]string // settings files by mode
	before func(mode string) // called with the mode before each round; may be nil
}

// run starts a gateway with the settings of a mode and calls measure with sessions to it. It returns an error
// if a call has failed.
func (m *comparison) run(mode string, measure func(c *clientPool)) error {
	if m.before != nil {
		m.before(mode)
	}
	p, err := startProcess("gateway", m.files[mode], "")
	if err != nil {
		return err
	}
	defer p.stop()
	c, err := dialAll(p.addr, modeSessions)
	if err != nil {
		return err
	}
	measure(c)
	c.close()
	if n := c.failed.Load(); n > 0 {
		return fmt.Errorf("%s %s: %d calls failed, want 0", m.what, mode, n)
	}
	return nil
}

// measure prints the calls per second of each mode, and its latency at half the rate of the slowest mode.
func (m *comparison) measure(warmup, duration time.Duration) error {
	rates, err := m.rates(warmup, duration/modeRounds)
	if err != nil {
		return err
	}
	least := int64(math.MaxInt64)
	for _, mode := range m.modes {
		least = min(least, median(rates[mode]))
	}
	rate := 0.5 * float64(least)
	p50, p99 := map[string][]int64{}, map[string][]int64{}
	for range modeRounds {
		for _, mode := range m.modes {
			err := m.run(mode, func(c *clientPool) {
				c.runOpenLoop(rate, warmup, duration)
				p50[mode] = append(p50[mode], c.latency.ValueAtQuantile(50))
				p99[mode] = append(p99[mode], c.latency.ValueAtQuantile(99))
			})
			if err != nil {
				return err
			}
		}
	}
	fmt.Printf(
		"%s, %d sessions, %d calls open; quantiles at %.0f calls a second, half of the slowest's most\n\n",
		m.what, modeSessions, modeOpenCalls, rate)
	fmt.Printf("| %s | calls/s | to %s | p50 | p99 |\n| --- | --- | --- | --- | --- |\n", m.what, m.modes[0])
	for _, mode := range m.modes {
		got := median(rates[mode])
		fmt.Printf("| %s | %d | %.2f | %v | %v |\n",
			mode, got, float64(got)/float64(median(rates[m.modes[0]])),
			time.Duration(median(p50[mode])).Round(time.Microsecond),
			time.Duration(median(p99[mode])).Round(time.Microsecond))
	}
	fmt.Println()
	return nil
}

// rates returns the calls per second of each round, by mode.
func (m *comparison) rates(warmup, duration time.Duration) (map[string][]int64, error) {
	rates := map[string][]int64{}
	for range modeRounds {
		for _, mode := range m.modes {
			err := m.run(mode, func(c *clientPool) {
				rates[mode] = append(rates[mode], int64(c.runClosedLoop(modeOpenCalls, warmup, duration)))
			})
			if err != nil {
				return nil, err
			}
		}
	}
	return rates, nil
}

// syncBytes is the number of bytes that syncTime writes before each sync.
const syncBytes = 4 << 10

// syncTime returns the mean time in which the disk writes and syncs syncBytes, or 0 if no file can be
// created.
func syncTime(dir string) time.Duration {
	f, err := os.Create(filepath.Join(dir, "sync"))
	if err != nil {
		return 0
	}
	defer f.Close()
	began := time.Now()
	const writes = 50
	for range writes {
		f.Write(make([]byte, syncBytes))
		f.Sync()
	}
	return (time.Since(began) / writes).Round(time.Microsecond)
}
