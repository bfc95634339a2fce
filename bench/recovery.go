package main

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/gateway"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/wal"
)

// measureRecovery measures how long a gateway takes to find what it owes, by how much that is.
func measureRecovery(dir string, most int) error {
	fmt.Println("recovery of the export's log, by the tries that the receiver does not have\n\n" +
		"| tries | bytes | without snapshots | with snapshots |\n| --- | --- | --- | --- |")
	for n := 10_000; n <= most; n *= 10 {
		row := fmt.Sprintf("| %d |", n)
		for _, snaps := range []bool{false, true} {
			kept := filepath.Join(dir, fmt.Sprintf("recover-%d-%t", n, snaps))
			size, err := fillOutboxLog(filepath.Join(kept, "use"), n, snaps)
			if err != nil {
				return err
			}
			if !snaps {
				row += fmt.Sprintf(" %d |", size)
			}
			began := time.Now()
			_, l, rec, err := gateway.OpenOutbox(gateway.OutboxOptions{
				Export:      config.UsageExport{},
				Dir:         kept,
				Incarnation: 1 << 62, // later than that of the log
				WallClock:   func() int64 { return 1 },
				Log:         slog.New(slog.DiscardHandler),
			}, nil, nil, nil)
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

// attemptsPerSnapshot is how many attempts, of two records each, precede a snapshot, as in a gateway.
const attemptsPerSnapshot = 25000

// fillOutboxLog fills a log with settled attempts of which the receiver has none. dir is where gateway.OpenOutbox has
// the log.
func fillOutboxLog(dir string, n int, snaps bool) (int64, error) {
	l, _, err := wal.Open(dir, wal.Options{Mode: wal.SyncNever, RetainFrom: func() uint64 { return 1 }}, nil, nil)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	d := outbox.New(outbox.Settings{MinIncarnation: 1})
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
	t := outbox.Attempt{
		Request: "0-18ed2c564500847d-5i",
		Member:  "editorial",
		Plan:    "imprenta",
		Class:   "order-submit",
		Server:  "127.0.0.1:12345",
		Units:   1,
	}
	for i := 1; i <= n; i++ {
		if err := do(d.Handle(outbox.RecordIntent{ID: outbox.AttemptID(i), LogHasSpace: true, Attempt: t})); err != nil {
			return 0, err
		}
		settle := outbox.Settle{ID: outbox.AttemptID(i), Outcome: outbox.OutcomeAnswered, UsedUnits: 2, WallTime: 1}
		if err := do(d.Handle(settle)); err != nil {
			return 0, err
		}
		if snaps && i%attemptsPerSnapshot == 0 {
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
