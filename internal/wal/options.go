package wal

import "time"

// SyncMode says when a record counts as durable.
type SyncMode int

// The modes.
const (
	// SyncAlways: when a sync that covers it has ended. No crash loses an acknowledged record.
	SyncAlways SyncMode = iota
	// SyncInterval: when the system has it; a sync follows within Options.SyncInterval. A crash of the process loses
	// nothing, one of the machine what the last interval brought.
	SyncInterval
	// SyncNever: when the system has it. The log syncs only at the end of a segment and for snapshots.
	SyncNever
)

// String is the mode's name in settings.
func (m SyncMode) String() string { return [...]string{"each", "interval", "none"}[m] }

// What the zero values of Options mean.
const (
	defaultSyncInterval    = 100 * time.Millisecond
	defaultSegmentBytes    = 16 << 20
	defaultMaxPendingBytes = 8 << 20
	defaultRetryInterval   = 500 * time.Millisecond
)

// Options configure a log.
type Options struct {
	Mode            SyncMode
	SyncInterval    time.Duration // of the mode SyncInterval; 0: 100 ms
	SegmentBytes    int64         // size at which a new segment is begun; 0: 16 MiB
	MaxBytes        int64         // of all files; Append fails rather than exceed it; 0: no bound
	MaxPendingBytes int           // that may wait for the disk; 0: 8 MiB
	RetryInterval   time.Duration // between attempts to write again after a failure; 0: 500 ms
	FS              FS            // nil: Disk

	// OnDurable is called, by the writer goroutine, with the last record up to which all are durable. It must not
	// block.
	OnDurable func(number uint64)
	// OnFailure is called, by the writer goroutine or by Open, at the first failure, and with nil once the log works
	// again and all that waited is durable. It must not block.
	OnFailure func(error)
	// RetainFrom is the first record that the owner still needs, whatever snapshots cover. Segments from it on are not
	// removed. nil: none beyond the snapshots'.
	RetainFrom func() (from uint64)
}

func (o Options) withDefaults() Options {
	if o.SyncInterval <= 0 {
		o.SyncInterval = defaultSyncInterval
	}
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.MaxPendingBytes <= 0 {
		o.MaxPendingBytes = defaultMaxPendingBytes
	}
	if o.RetryInterval <= 0 {
		o.RetryInterval = defaultRetryInterval
	}
	if o.FS == nil {
		o.FS = Disk{}
	}
	if o.OnDurable == nil {
		o.OnDurable = func(uint64) {}
	}
	if o.OnFailure == nil {
		o.OnFailure = func(error) {}
	}
	return o
}
