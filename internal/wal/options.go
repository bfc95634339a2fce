package wal

import "time"

// SyncMode defines when a record counts as durable.
type SyncMode int

// Modes of durability.
const (
	// SyncAlways makes a record durable once it has been synced to disk. No crash loses an acknowledged
	// record.
	SyncAlways SyncMode = iota
	// SyncInterval makes a record durable once it has been written to the operating system; a sync follows
	// within Options.SyncInterval. A crash of the process loses no record. A crash of the machine may lose
	// the records of the last interval.
	SyncInterval
	// SyncNever makes a record durable once it has been written to the operating system. The log syncs only
	// at the end of a segment and for snapshots.
	SyncNever
)

// String returns the name of the mode as used in the settings.
func (m SyncMode) String() string { return [...]string{"each", "interval", "none"}[m] }

// Defaults for zero fields of Options.
const (
	defaultSyncInterval    = 100 * time.Millisecond
	defaultSegmentBytes    = 16 << 20
	defaultMaxPendingBytes = 8 << 20
	defaultRetryInterval   = 500 * time.Millisecond
)

// Options configures a log. The zero value is valid.
type Options struct {
	Mode            SyncMode
	SyncInterval    time.Duration // maximum time between syncs in the mode SyncInterval; 0 means 100 ms
	SegmentBytes    int64         // size at which a new segment is started; 0 means 16 MiB
	MaxBytes        int64         // size of all files at which Append returns ErrFull; 0 means no limit
	MaxPendingBytes int           // size of unwritten records at which Append returns ErrBusy; 0 means 8 MiB
	RetryInterval   time.Duration // time between write attempts after a failure; 0 means 500 ms
	FS              FS            // nil means Disk

	// OnDurable, unless nil, is called by the writer goroutine with the number of the last record up to which
	// all records are durable. It must not block.
	OnDurable func(number uint64)
	// OnFailure, unless nil, is called by the writer goroutine or by Open with the first error after which
	// the log cannot be written, and with nil once the log works again and the records affected by the
	// failure are durable. It must not block.
	OnFailure func(error)
	// RetainFrom, unless nil, returns the number of the first record that the owner still needs, even if a
	// snapshot covers it. The segment with that record and all later segments are kept. If RetainFrom is nil,
	// only the segments that recovery from the last two snapshots needs are kept.
	RetainFrom func() (from uint64)
}

// withDefaults returns the options with defaults in place of zero fields.
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
