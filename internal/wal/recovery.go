package wal

import (
	"fmt"
	"log/slog"
	"path/filepath"
)

// Gap is a range of consecutive missing records, with the position of the first record found after them.
type Gap struct {
	From, To uint64 // numbers of the first and the last missing record
	Segment  string // file name of the segment
	Offset   int64  // offset in the segment in bytes; 0 in gaps reported by a Cursor, which does not know it
}

// String returns a description of the gap for errors and log lines.
func (g Gap) String() string {
	return fmt.Sprintf("%s: offset %d: records %d to %d are missing", g.Segment, g.Offset, g.From, g.To)
}

// Recovery describes what Open found in a log.
type Recovery struct {
	Snapshot         []byte   // payload of the newest undamaged snapshot; nil if there is none
	SnapshotRecord   uint64   // number of the last record that the snapshot covers; 0 if there is no snapshot
	FirstRecord      uint64   // number of the first record read after the snapshot; 0 if there is none
	LastRecord       uint64   // number of the last record of the log or of the snapshot; 0 if there is none
	Records          int      // number of records read after the snapshot
	Gaps             []Gap    // missing records, in order
	TornBytes        int64    // bytes at the end of the log that do not form a valid record
	SkippedBytes     int64    // damaged bytes before the end of the log
	DamagedSnapshots []string // file names of damaged snapshots, each with the reason
}

// LogDamage logs the damage that was found, if any. name identifies the log in the log lines.
func (r *Recovery) LogDamage(log *slog.Logger, name, dir string) {
	for _, g := range r.Gaps {
		log.Error("Log has missing records", "log", name, "dir", dir, "gap", g.String())
	}
	if r.TornBytes > 0 || len(r.DamagedSnapshots) > 0 {
		log.Warn("Log has a torn tail or a damaged snapshot", "log", name, "dir", dir,
			"torn_bytes", r.TornBytes, "snapshots", r.DamagedSnapshots)
	}
}

// recover reads the newest undamaged snapshot and the records after it.
func (l *Log) recover(restoreSnapshot func(*Recovery) error, restoreRecord func(Record) error) (
	*Recovery, error) {
	recovery := &Recovery{}
	segments, snapshots, err := listFiles(l.options.FS, l.dir)
	if err != nil {
		return nil, err
	}
	l.recoverSnapshot(recovery, snapshots)
	if restoreSnapshot != nil {
		if err := restoreSnapshot(recovery); err != nil {
			return nil, err
		}
	}
	// Segments whose records are all covered by the snapshot are not read.
	firstNeeded := 0
	for i, s := range segments {
		if s.firstRecord <= recovery.SnapshotRecord+1 {
			firstNeeded = i
		}
	}
	for i, s := range segments {
		l.totalBytes += s.size
		if i < firstNeeded {
			continue
		}
		if err := l.recoverSegment(s, recovery, restoreRecord); err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	l.segments = segments
	return recovery, nil
}

// recoverSnapshot reads the newest undamaged snapshot. Damaged snapshots that are newer are reported in
// Recovery.DamagedSnapshots, and are no longer tracked or included in the size of the log.
func (l *Log) recoverSnapshot(recovery *Recovery, snapshots []snapshotFile) {
	for i := len(snapshots) - 1; i >= 0; i-- {
		number := snapshots[i].record
		payload, err := readSnapshot(l.options.FS, l.dir, number)
		if err != nil {
			recovery.DamagedSnapshots = append(recovery.DamagedSnapshots,
				fmt.Sprintf("%s: %v", snapshotName(number), err))
			continue
		}
		recovery.Snapshot, recovery.SnapshotRecord, recovery.LastRecord = payload, number, number
		break
	}
	for _, s := range snapshots {
		if s.record <= recovery.SnapshotRecord {
			l.snapshots = append(l.snapshots, s)
			l.totalBytes += s.size
		}
	}
}

// recoverSegment passes the records of a segment that are not yet recovered to restoreRecord and adds the
// damage found to recovery.
func (l *Log) recoverSegment(s segment, recovery *Recovery, restoreRecord func(Record) error) error {
	f, err := l.options.FS.Open(filepath.Join(l.dir, s.name))
	if err != nil {
		return err
	}
	defer f.Close()
	// Torn bytes of the previous segment were not at the end of the log, because this segment follows.
	recovery.SkippedBytes += recovery.TornBytes
	torn, skipped, err := scanSegment(f, func(r Record, from, _ int64) error {
		if r.Number <= recovery.LastRecord {
			return nil // covered by the snapshot, or a duplicate
		}
		// Without a snapshot, the first record may have any number, because older segments may have been
		// removed.
		if r.Number > recovery.LastRecord+1 && (recovery.LastRecord > 0 || recovery.Records > 0) {
			recovery.Gaps = append(recovery.Gaps, Gap{recovery.LastRecord + 1, r.Number - 1, s.name, from})
		}
		if recovery.FirstRecord == 0 {
			recovery.FirstRecord = r.Number
		}
		recovery.LastRecord = r.Number
		recovery.Records++
		if restoreRecord == nil {
			return nil
		}
		return restoreRecord(r)
	})
	recovery.TornBytes = torn
	recovery.SkippedBytes += skipped
	return err
}
