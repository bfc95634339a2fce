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

// measureRecovery measures how long a gateway takes to read the log of its usage export. The logs have 10 000
// attempts and ten times more in each row, up to attemptLimit.
func measureRecovery(dir string, attemptLimit int) error {
	fmt.Println("recovery of the export's log, by the tries that the receiver does not have\n\n" +
		"| tries | bytes | without snapshots | with snapshots |\n| --- | --- | --- | --- |")
	for n := 10_000; n <= attemptLimit; n *= 10 {
		row := fmt.Sprintf("| %d |", n)
		for _, withSnapshots := range []bool{false, true} {
			stateDir := filepath.Join(dir, fmt.Sprintf("recover-%d-%t", n, withSnapshots))
			size, err := fillOutboxLog(filepath.Join(stateDir, "use"), n, withSnapshots)
			if err != nil {
				return err
			}
			if !withSnapshots {
				row += fmt.Sprintf(" %d |", size)
			}
			began := time.Now()
			_, log, recovery, err := gateway.OpenOutbox(gateway.OutboxOptions{
				Export:      config.UsageExport{},
				Dir:         stateDir,
				Incarnation: 1 << 62, // later than the incarnation in the log
				WallClock:   func() int64 { return 1 },
				Log:         slog.New(slog.DiscardHandler),
			}, nil, nil, nil)
			if err != nil {
				return err
			}
			row += fmt.Sprintf(" %v (%d records read) |",
				time.Since(began).Round(time.Millisecond), recovery.Records)
			log.Close()
			os.RemoveAll(stateDir)
		}
		fmt.Println(row)
	}
	fmt.Println()
	return nil
}

// attemptsPerSnapshot is the number of attempts between two snapshots. It is the same as in a gateway; an
// attempt has two records.
const attemptsPerSnapshot = 25000

// fillOutboxLog fills a log with n settled attempts that have not been delivered to a receiver, and returns
// its size in bytes. dir must be the directory in which gateway.OpenOutbox expects the log.
func fillOutboxLog(dir string, n int, withSnapshots bool) (int64, error) {
	log, _, err := wal.Open(dir, wal.Options{Mode: wal.SyncNever,
		RetainFrom: func() uint64 { return 1 }}, nil, nil)
	if err != nil {
		return 0, err
	}
	defer log.Close()
	d := outbox.New(outbox.Settings{MinIncarnation: 1})
	apply := func(actions []outbox.Action) error {
		for _, a := range actions {
			a, ok := a.(outbox.Append)
			if !ok {
				continue
			}
			number, err := log.Append(a.Payload)
			for err == wal.ErrBusy {
				time.Sleep(time.Millisecond)
				number, err = log.Append(a.Payload)
			}
			if err != nil {
				return err
			}
			d.Handle(outbox.Appended{ID: a.ID, Record: number})
		}
		return nil
	}
	if err := apply(d.Start(1)); err != nil {
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
		if err := apply(d.Handle(outbox.RecordIntent{ID: outbox.AttemptID(i), LogHasSpace: true,
			Attempt: t})); err != nil {
			return 0, err
		}
		settle := outbox.Settle{ID: outbox.AttemptID(i), Outcome: outbox.OutcomeAnswered,
			UsedUnits: 2, WallTime: 1}
		if err := apply(d.Handle(settle)); err != nil {
			return 0, err
		}
		if withSnapshots && i%attemptsPerSnapshot == 0 {
			if err := log.Sync(time.Minute); err != nil {
				return 0, err
			}
			if err := log.Snapshot(log.NextNumber()-1, d.Snapshot()); err != nil {
				return 0, err
			}
		}
	}
	if err := log.Sync(time.Minute); err != nil {
		return 0, err
	}
	return log.Size(), nil
}
