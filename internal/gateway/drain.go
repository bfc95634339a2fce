package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/usage/sender"
)

// DrainResult is what draining a log found and told.
type DrainResult struct {
	Incarnation uint64
	Records     uint64
	Outbox      outbox.Counts
	Delivery    outbox.DeliveryCounts
	Gaps        int
	TornBytes   int64
	LostRecords uint64
}

// DrainExport exports what the log of a gateway owes that does not run, such as one that will never come back: tries
// that its last life left open go at their guesses. It returns when the receiver has all, or when the context ends.
func DrainOutbox(ctx context.Context, f *config.Fleet, rank int, log *slog.Logger) (res DrainResult, err error) {
	if rank < 0 || rank >= len(f.Gateways) {
		return res, fmt.Errorf("rank: %d, want 0 to %d", rank, len(f.Gateways)-1)
	}
	if f.StateDirPattern == "" || f.UsageExport.URL == "" {
		return res, errors.New("kept and export: the settings name none")
	}
	o := OutboxOptions{Export: f.UsageExport, Fleet: f.Name, Gateway: rank, Dir: f.StateDir(rank), Incarnation: uint64(time.Now().UnixNano()),
		WallClock: func() int64 { return time.Now().UnixNano() }, Log: log}
	o.Export.MaxLogBytes = 0 // what is owed is owed, whatever room there is
	desk, l, rec, err := OpenOutbox(o, nil, nil, func(err error) {
		if err != nil {
			log.Error("the export's log can't be written", "err", err)
		}
	})
	if err != nil {
		return res, err
	}
	defer l.Close()
	if err := l.Sync(10 * time.Second); err != nil {
		return res, err
	}
	c := sender.New(sender.Options{Log: l, URL: f.UsageExport.URL, Fleet: f.Name, Gateway: rank, After: desk.LastAcknowledged(),
		BatchSize: f.UsageExport.BatchSize, Timeout: f.UsageExport.Timeout, DeadLetterFile: DeadLetterFile(o.Dir), MaxDeadLetterBytes: maxDeadLetterBytes(f.UsageExport), StopWhenIdle: true, Seed: int64(o.Incarnation),
		OnAcknowledged: func(rec uint64) {
			for _, a := range desk.Handle(outbox.Acknowledged{Record: rec}) {
				l.Append(a.(outbox.Append).Payload)
			}
		}, LogError: func(text string, args ...any) { log.Error(text, args...) }})
	c.Run(ctx)
	res = DrainResult{Incarnation: desk.Incarnation(), Records: l.LastDurable(), Outbox: desk.Counts, Delivery: c.Counts(), Gaps: len(rec.Gaps), TornBytes: rec.TornBytes,
		LostRecords: c.LostRecords.Load()}
	if err := ctx.Err(); err != nil {
		return res, fmt.Errorf("the receiver has not all yet: %w (last answer: %d %s)", err, res.Delivery.LastStatus, res.Delivery.LastReason)
	}
	return res, nil
}
