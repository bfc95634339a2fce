package wal

import (
	"fmt"
	"log/slog"
	"path/filepath"
)

// Gap is a run of records that are missing between others, with the place where the damage was met.
type Gap struct {
	From, To uint64 // numbers, both missing
	Segment  string // name of the file
	Offset   int64  // bytes; 0 from a Cursor, which does not know it
}

// String describes the gap for errors and logs.
func (g Gap) String() string {
	return fmt.Sprintf("%s: offset %d: records %d to %d are lost", g.Segment, g.Offset, g.From, g.To)
}

// Recovery is what opening a log found.
type Recovery struct {
	Snapshot         []byte // payload; nil: there is none
	SnapshotRecord   uint64 // last record that the snapshot covers
	FirstRecord      uint64 // first record read behind the snapshot; 0: none
	LastRecord       uint64 // last record of the log, or of the snapshot
	Records          int    // read
	Gaps             []Gap
	TornBytes        int64    // at the end, that are no record
	SkippedBytes     int64    // damaged, before the end
	DamagedSnapshots []string // passed over, with the reason
}

// LogDamage logs what was damaged, if anything was; name says which log it is.
func (r *Recovery) LogDamage(log *slog.Logger, name, dir string) {
	for _, g := range r.Gaps {
		log.Error("Log has a gap", "log", name, "dir", dir, "gap", g.String())
	}
	if r.TornBytes > 0 || len(r.DamagedSnapshots) > 0 {
		log.Warn("Log has a torn tail or a damaged snapshot", "log", name, "dir", dir,
			"torn_bytes", r.TornBytes, "snapshots", r.DamagedSnapshots)
	}
}

// recover reads the newest good snapshot and the records behind it.
func (l *Log) recover(begin func(*Recovery) error, take func(Record) error) (*Recovery, error) {
	rec := &Recovery{}
	segments, snapshots, err := listFiles(l.options.FS, l.dir)
	if err != nil {
		return nil, err
	}
	l.recoverSnapshot(rec, snapshots)
	if begin != nil {
		if err := begin(rec); err != nil {
			return nil, err
		}
	}
	// Segments of which the snapshot covers all records are not read.
	from := 0
	for i, s := range segments {
		if s.firstRecord <= rec.SnapshotRecord+1 {
			from = i
		}
	}
	for i, s := range segments {
		l.totalBytes += s.size
		if i < from {
			continue
		}
		if err := l.recoverSegment(s, rec, take); err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	l.segments = segments
	return rec, nil
}

// recoverSnapshot reads the newest undamaged snapshot. Newer ones are passed over and no longer counted.
func (l *Log) recoverSnapshot(rec *Recovery, snapshots []snapshotFile) {
	for i := len(snapshots) - 1; i >= 0; i-- {
		number := snapshots[i].record
		payload, err := readSnapshot(l.options.FS, l.dir, number)
		if err != nil {
			rec.DamagedSnapshots = append(rec.DamagedSnapshots, fmt.Sprintf("%s: %v", snapshotName(number), err))
			continue
		}
		rec.Snapshot, rec.SnapshotRecord, rec.LastRecord = payload, number, number
		break
	}
	for _, s := range snapshots {
		if s.record <= rec.SnapshotRecord {
			l.snapshots = append(l.snapshots, s)
			l.totalBytes += s.size
		}
	}
}

func (l *Log) recoverSegment(s segment, rec *Recovery, take func(Record) error) error {
	f, err := l.options.FS.Open(filepath.Join(l.dir, s.name))
	if err != nil {
		return err
	}
	defer f.Close()
	rec.SkippedBytes += rec.TornBytes // a segment follows, so it was not the end
	torn, skipped, err := scanSegment(f, func(r Record, from, _ int64) error {
		if r.Number <= rec.LastRecord {
			return nil // covered, or a repetition
		}
		// Without a snapshot the first record of all may have any number: older segments were removed.
		if r.Number > rec.LastRecord+1 && (rec.LastRecord > 0 || rec.Records > 0) {
			rec.Gaps = append(rec.Gaps, Gap{rec.LastRecord + 1, r.Number - 1, s.name, from})
		}
		if rec.FirstRecord == 0 {
			rec.FirstRecord = r.Number
		}
		rec.LastRecord = r.Number
		rec.Records++
		if take == nil {
			return nil
		}
		return take(r)
	})
	rec.TornBytes = torn
	rec.SkippedBytes += skipped
	return err
}
