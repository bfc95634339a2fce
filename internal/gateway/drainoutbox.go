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

// drainSyncTimeout is how long draining waits for the records of its own incarnation to become durable.
const drainSyncTimeout = 10 * time.Second

// DrainResult is what draining an outbox found and delivered.
type DrainResult struct {
	Incarnation uint64
	Records     uint64 // in the log
	Outbox      outbox.Counts
	Delivery    outbox.DeliveryCounts
	Gaps        int // in the log
	TornBytes   int64
	LostRecords uint64
}

// DrainOutbox delivers what the outbox of a gateway that does not run still holds, such as one that will never come
// back. Attempts that its last incarnation left open are exported at their estimates. It returns once the receiver
// has everything, or with an error that wraps that of ctx and has the receiver's last answer.
func DrainOutbox(ctx context.Context, f *config.Fleet, rank int, log *slog.Logger) (DrainResult, error) {
	if rank < 0 || rank >= len(f.Gateways) {
		return DrainResult{}, fmt.Errorf("rank: %d, want 0 to %d", rank, len(f.Gateways)-1)
	}
	if f.StateDirPattern == "" || f.UsageExport.URL == "" {
		return DrainResult{}, errors.New("kept and export: the settings name none")
	}
	o := OutboxOptions{
		Export:      f.UsageExport,
		Fleet:       f.Name,
		Gateway:     rank,
		Dir:         f.StateDir(rank),
		Incarnation: uint64(time.Now().UnixNano()),
		WallClock:   unixNanos,
		Log:         log,
	}
	maxDeadLetters := maxDeadLetterBytes(o.Export)
	o.Export.MaxLogBytes = 0 // the records of this incarnation are written even if the log is full
	onFailure := func(err error) {
		if err != nil {
			log.Error("Failed to write the outbox log", "err", err)
		}
	}
	box, l, recovery, err := OpenOutbox(o, nil, nil, onFailure)
	if err != nil {
		return DrainResult{}, fmt.Errorf("gateway %d: open the outbox log: %w", rank, err)
	}
	defer l.Close()
	if err := l.Sync(drainSyncTimeout); err != nil {
		return DrainResult{}, fmt.Errorf("gateway %d: sync the outbox log: %w", rank, err)
	}
	options := senderOptions(o, l, box)
	options.MaxDeadLetterBytes = maxDeadLetters
	options.StopWhenIdle = true
	options.OnAcknowledged = func(record uint64) {
		for _, action := range box.Handle(outbox.Acknowledged{Record: record}) {
			l.Append(action.(outbox.Append).Payload)
		}
	}
	s := sender.New(options)
	s.Run(ctx)
	result := DrainResult{
		Incarnation: box.Incarnation(),
		Records:     l.LastDurable(),
		Outbox:      box.Counts,
		Delivery:    s.Counts(),
		Gaps:        len(recovery.Gaps),
		TornBytes:   recovery.TornBytes,
		LostRecords: s.LostRecords.Load(),
	}
	if err := ctx.Err(); err != nil {
		return result, fmt.Errorf("the receiver has not all yet: %w (last answer: %d %s)", err,
			result.Delivery.LastStatus, result.Delivery.LastReason)
	}
	return result, nil
}
