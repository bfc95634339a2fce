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
	outageRows     = 6 // of the table, while the receiver is down
	// maxOutageLog bounds the log of the usage export, in bytes.
	maxOutageLog = 2<<30 - 1
)

// outageRun is a gateway under load whose usage receiver goes away and comes back.
type outageRun struct {
	process *process
	rate    float64 // calls a second
	logDir  string
	began   time.Time
	served  int64
	last    *clientPool // of the load that ended last
}

// measureOutage holds a load while the receiver is down and prints what the gateway's process takes of memory and disk.
func measureOutage(dir, file string, rate float64, span time.Duration) error {
	s, err := startReceiver()
	if err != nil {
		return err
	}
	settings, err := writeExportSettings(file, dir, s.addr, wal.SyncInterval, maxOutageLog)
	if err != nil {
		return err
	}
	p, err := startProcess("gateway", settings, "")
	if err != nil {
		return err
	}
	defer p.stop()
	fmt.Printf("%.0f calls a second, the receiver down from the second row on and back before the last\n\n", rate)
	fmt.Println("| after | heap and stacks | log on disk | calls served | p99 |\n| --- | --- | --- | --- | --- |")
	o := &outageRun{process: p, rate: rate, logDir: filepath.Join(dir, "kept-interval-0"), began: time.Now()}
	if err := o.row(time.Second, 3*time.Second); err != nil {
		return err
	}
	s.down.Store(true)
	for range outageRows {
		if err := o.row(0, span/outageRows); err != nil {
			return err
		}
	}
	s.down.Store(false)
	return o.recover(span)
}

// recover prints the last row, once the log has shrunk to a quarter or the span is over.
func (o *outageRun) recover(span time.Duration) error {
	before := directorySize(o.logDir)
	returned := time.Now()
	for time.Since(returned) < span && directorySize(o.logDir) > before/4 {
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

// row holds the load for a while and prints what it left.
func (o *outageRun) row(warm, span time.Duration) error {
	if err := o.load(warm, span); err != nil {
		return err
	}
	return o.print()
}

func (o *outageRun) load(warm, span time.Duration) error {
	c, err := dialAll(o.process.addr, outageSessions)
	if err != nil {
		return err
	}
	defer c.close()
	c.runOpenLoop(o.rate, warm, span)
	o.served += c.served.Load()
	o.last = c
	return nil
}

func (o *outageRun) print() error {
	u, err := o.process.usage()
	if err != nil {
		return err
	}
	heap, log := float64(u.Heap)/(1<<20), float64(directorySize(o.logDir))/(1<<20)
	p99 := time.Duration(o.last.latency.ValueAtQuantile(99))
	fmt.Printf("| %v | %.1f MiB | %.1f MiB | %d | %v |\n", time.Since(o.began).Round(time.Second), heap, log, o.served,
		p99.Round(time.Microsecond))
	return nil
}

// directorySize returns the bytes of all files below a directory; a file that vanishes meanwhile does not count.
func directorySize(dir string) (n int64) {
	filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
		if err == nil && !i.IsDir() {
			n += i.Size()
		}
		return nil
	})
	return n
}
