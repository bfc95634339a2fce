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
	Life    uint64
	Records uint64
	Desk    outbox.Counts
	Ship    outbox.ShipCounts
	Holes   int
	Torn    int64
	Lost    uint64
}

// DrainExport exports what the log of a gateway owes that does not run, such as one that will never come back: tries
// that its last life left open go at their guesses. It returns when the receiver has all, or when the context ends.
func DrainExport(ctx context.Context, f *config.Fleet, rank int, log *slog.Logger) (res DrainResult, err error) {
	if rank < 0 || rank >= len(f.Gateways) {
		return res, fmt.Errorf("rank: %d, want 0 to %d", rank, len(f.Gateways)-1)
	}
	if f.Kept == "" || f.Export.To == "" {
		return res, errors.New("kept and export: the settings name none")
	}
	o := OwedOptions{Export: f.Export, Fleet: f.Name, Gateway: rank, Dir: f.Dir(rank), Life: uint64(time.Now().UnixNano()),
		Wall: func() int64 { return time.Now().UnixNano() }, Log: log}
	o.Export.Disk = 0 // what is owed is owed, whatever room there is
	desk, l, rec, err := OpenDesk(o, nil, nil, func(err error) {
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
	c := sender.New(sender.Options{Log: l, URL: f.Export.To, Fleet: f.Name, Gateway: rank, Behind: desk.Acked(),
		Batch: f.Export.Batch, Timeout: f.Export.Timeout, SetAside: SetAsideFile(o.Dir), SetAsideMost: setAsideMost(f.Export), Empty: true, Seed: int64(o.Life),
		Acked: func(rec uint64) {
			for _, a := range desk.Handle(outbox.Acked{Rec: rec}) {
				l.Append(a.(outbox.Append).Payload)
			}
		}, Say: func(text string, args ...any) { log.Error(text, args...) }})
	c.Run(ctx)
	res = DrainResult{Life: desk.Life(), Records: l.DurableTo(), Desk: desk.Counts, Ship: c.Counts(), Holes: len(rec.Holes), Torn: rec.Torn,
		Lost: c.Lost.Load()}
	if err := ctx.Err(); err != nil {
		return res, fmt.Errorf("the receiver has not all yet: %w (last answer: %d %s)", err, res.Ship.LastStatus, res.Ship.LastWhy)
	}
	return res, nil
}
