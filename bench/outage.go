package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"winghatch/internal/wal"
)

const (
	outageSessions = 64
	outageRows     = 6 // rows of the table during the outage
	// maxOutageLog bounds the log of the usage export, in bytes.
	maxOutageLog = 2<<30 - 1
)

// outageRun is a gateway under load whose usage receiver has an outage.
type outageRun struct {
	process *process
	rate    float64 // calls per second
	logDir  string
	began   time.Time
	served  int64
	last    *clientPool // clients of the last completed load
}

// measureOutage keeps up a load while the receiver is down, and prints how much memory and disk the gateway's
// process uses.
func measureOutage(dir, file string, rate float64, duration time.Duration) error {
	usageReceiver, err := startReceiver()
	if err != nil {
		return err
	}
	settings, err := writeExportSettings(file, dir, usageReceiver.addr, wal.SyncInterval, maxOutageLog)
	if err != nil {
		return err
	}
	p, err := startProcess("gateway", settings, "")
	if err != nil {
		return err
	}
	defer p.stop()
	fmt.Printf(
		"%.0f calls a second, the receiver down from the second row on and back before the last\n\n", rate)
	fmt.Println(
		"| after | heap and stacks | log on disk | calls served | p99 |\n| --- | --- | --- | --- | --- |")
	o := &outageRun{process: p, rate: rate, logDir: filepath.Join(dir, "kept-interval-0"), began: time.Now()}
	if err := o.row(time.Second, 3*time.Second); err != nil {
		return err
	}
	usageReceiver.down.Store(true)
	for range outageRows {
		if err := o.row(0, duration/outageRows); err != nil {
			return err
		}
	}
	usageReceiver.down.Store(false)
	return o.recover(duration)
}

// recover continues the load until the log has shrunk to a quarter or duration is over, and prints the last
// row.
func (o *outageRun) recover(duration time.Duration) error {
	before := directorySize(o.logDir)
	returned := time.Now()
	for time.Since(returned) < duration && directorySize(o.logDir) > before/4 {
		if err := o.load(0, time.Second); err != nil {
			return err
		}
	}
	if err := o.print(); err != nil {
		return err
	}
	fmt.Printf("\nthe log shrank to a quarter within %v of the receiver's return\n\n",
		time.Since(returned).Round(time.Second))
	return nil
}

// row runs the load for warmup and duration and prints a row of the table.
func (o *outageRun) row(warmup, duration time.Duration) error {
	if err := o.load(warmup, duration); err != nil {
		return err
	}
	return o.print()
}

// load runs the load with new sessions and counts the calls served.
func (o *outageRun) load(warmup, duration time.Duration) error {
	c, err := dialAll(o.process.addr, outageSessions)
	if err != nil {
		return err
	}
	defer c.close()
	c.runOpenLoop(o.rate, warmup, duration)
	o.served += c.served.Load()
	o.last = c
	return nil
}

// print prints a row with the current usage of the process.
func (o *outageRun) print() error {
	u, err := o.process.usage()
	if err != nil {
		return err
	}
	heap, log := float64(u.Heap)/(1<<20), float64(directorySize(o.logDir))/(1<<20)
	p99 := time.Duration(o.last.latency.ValueAtQuantile(99))
	fmt.Printf("| %v | %.1f MiB | %.1f MiB | %d | %v |\n",
		time.Since(o.began).Round(time.Second), heap, log, o.served, p99.Round(time.Microsecond))
	return nil
}

// directorySize returns the total size in bytes of the files below a directory. A file that is removed during
// the walk is not counted.
func directorySize(dir string) (n int64) {
	filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
		if err == nil && !i.IsDir() {
			n += i.Size()
		}
		return nil
	})
	return n
}
