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

// drainSyncTimeout is how long DrainOutbox waits until the records that it appends itself are durable.
const drainSyncTimeout = 10 * time.Second

// DrainResult reports what DrainOutbox found in the log and what it delivered.
type DrainResult struct {
	Incarnation uint64
	Records     uint64 // number of the last durable record in the log
	Outbox      outbox.Counts
	Delivery    outbox.DeliveryCounts
	Gaps        int // gaps in the record numbers of the log
	// TornBytes is the length in bytes of an incomplete end of the log, found when it was opened.
	TornBytes int64
	// LostRecords is the number of records that are missing from the log and were not exported.
	LostRecords uint64
}

// DrainOutbox delivers the records that remain in the outbox of a gateway that is not running, such as one
// that will never be started again. Attempts that its last incarnation left unsettled are exported at their
// estimated units. DrainOutbox returns once the receiver has acknowledged everything. If ctx ends before
// that, the error wraps the error of ctx and includes the last answer of the receiver.
func DrainOutbox(ctx context.Context, f *config.Fleet, rank int, log *slog.Logger) (DrainResult, error) {
	if rank < 0 || rank >= len(f.Gateways) {
		return DrainResult{}, fmt.Errorf("drain outbox: rank: %d, want 0 to %d", rank, len(f.Gateways)-1)
	}
	if f.StateDirPattern == "" || f.UsageExport.URL == "" {
		return DrainResult{}, errors.New("drain outbox: settings: kept and export are required")
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
	maxDeadLetters := maxDeadLetterBytes(o.Export) // derived from MaxLogBytes, which is cleared below
	// No bound: the records of this incarnation are written even if the log is full.
	o.Export.MaxLogBytes = 0
	onFailure := func(err error) {
		if err != nil {
			log.Error("Failed to write outbox log", "err", err)
		}
	}
	box, usageLog, recovery, err := OpenOutbox(o, nil, nil, onFailure)
	if err != nil {
		return DrainResult{}, fmt.Errorf("gateway %d: open outbox log: %w", rank, err)
	}
	defer usageLog.Close()
	if err := usageLog.Sync(drainSyncTimeout); err != nil {
		return DrainResult{}, fmt.Errorf("gateway %d: sync outbox log: %w", rank, err)
	}
	options := senderOptions(o, usageLog, box)
	options.MaxDeadLetterBytes = maxDeadLetters
	options.StopWhenIdle = true
	options.OnAcknowledged = func(record uint64) {
		for _, action := range box.Handle(outbox.Acknowledged{Record: record}) {
			usageLog.Append(action.(outbox.Append).Payload)
		}
	}
	s := sender.New(options)
	s.Run(ctx)
	result := DrainResult{
		Incarnation: box.Incarnation(),
		Records:     usageLog.LastDurable(),
		Outbox:      box.Counts,
		Delivery:    s.Counts(),
		Gaps:        len(recovery.Gaps),
		TornBytes:   recovery.TornBytes,
		LostRecords: s.LostRecords.Load(),
	}
	if err := ctx.Err(); err != nil {
		return result, fmt.Errorf(
			"drain outbox: receiver has not acknowledged all records: %w (last answer: %d %s)", err,
			result.Delivery.LastStatus, result.Delivery.LastReason)
	}
	return result, nil
}
