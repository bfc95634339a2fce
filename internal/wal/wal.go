// Package wal is a write-ahead log: numbered records in segments, a checksum each, group commit in three modes of
// durability, snapshots that let old segments go, and a bound on the disk it takes. The export of use and the
// book of plans keep what they owe in one.
//
// # Files
//
// A log is a directory. Segments are named by their first record's number in 20 digits, as
// "00000000000000000001.log". A segment begins with 24 bytes: "WHL1", four zero bytes, the number of its first
// record and the XXH64 of these 16. A record is 20 bytes and its payload:
//
//	length of the payload  4 bytes
//	number                 8 bytes
//	XXH64                  8 bytes, of length, number and payload
//
// all little-endian. Snapshots are named "00000000000000000001.snap" by the last record that they cover and hold
// "WHS1", four zero bytes, that number, the length of the payload in 8 bytes, the XXH64 of all this and of the
// payload, and the payload. The file LOCK keeps a second process out.
//
// # What a reader makes of damage
//
// Only numbers tell what is missing. Bytes that are no record are skipped up to the next record whose checksum is
// right: at the end of the log that is a torn tail, of which nothing was acknowledged in the modes that sync; where
// later records follow and numbers are missing it is a hole, which is said, bounded by the numbers on both sides,
// and does not keep the rest from being read. A record that comes twice, as after a segment was begun anew because
// a write had failed, counts once.
package wal

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	segmentMagic        = "WHL1"
	segmentHeaderBytes  = 24
	recordHeaderBytes   = 20
	snapshotMagic       = "WHS1"
	snapshotHeaderBytes = 32

	// MaxRecord is the longest payload of a record, in bytes.
	MaxRecord = 1 << 20
)

// FS is what the log needs of a file system; tests put one in its place that fails.
type FS interface {
	Create(name string) (File, error) // for writing; the file must not exist
	Open(name string) (io.ReadSeekCloser, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	List(dir string) ([]os.DirEntry, error)
}

// File is a file being written.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Disk is the real file system.
type Disk struct{}

// Create opens a new file for writing.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Open opens a file for reading.
func (Disk) Open(name string) (io.ReadSeekCloser, error) { return os.Open(name) }

// Rename renames a file.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (Disk) Remove(name string) error { return os.Remove(name) }

// List lists a directory.
func (Disk) List(dir string) ([]os.DirEntry, error) { return os.ReadDir(dir) }

// SyncDir makes names in a directory durable.
func (Disk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Record is one entry.
type Record struct {
	Number  uint64
	Payload []byte
}

// Hole is a run of records that are missing between others, with the place where the damage was met.
type Gap struct {
	From, To uint64 // numbers, both missing
	Segment  string
	Offset   int64
}

func (h Gap) String() string {
	return fmt.Sprintf("%s: offset %d: records %d to %d are lost", h.Segment, h.Offset, h.From, h.To)
}

// Recovery is what opening a log found.
type Recovery struct {
	Snapshot         []byte // nil: none
	SnapshotRecord   uint64 // last record that the snapshot covers
	First            uint64 // first record read behind the snapshot; 0: none
	Last             uint64 // last record of the log, or of the snapshot
	Records          int
	Gaps             []Gap
	TornBytes        int64    // bytes at the end that are no record
	SkippedBytes     int64    // damaged bytes before the end
	DamagedSnapshots []string // damaged ones, passed over
}

// Report tells an operator's log what was damaged, if anything was; what names the log.
func (r *Recovery) Report(log *slog.Logger, what, dir string) {
	for _, h := range r.Gaps {
		log.Error("a log has a hole", "log", what, "dir", dir, "hole", h.String())
	}
	if r.TornBytes > 0 || len(r.DamagedSnapshots) > 0 {
		log.Warn("a log was cut", "log", what, "dir", dir, "bytes", r.TornBytes, "snapshots", r.DamagedSnapshots)
	}
}

type segment struct {
	name        string
	firstRecord uint64
	size        int64
}

type snapshotFile struct {
	record uint64
	size   int64
}

func segmentName(no uint64) string  { return fmt.Sprintf("%020d.log", no) }
func snapshotName(no uint64) string { return fmt.Sprintf("%020d.snap", no) }

func appendRecord(dst []byte, no uint64, payload []byte) []byte {
	at := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint64(dst, no)
	d := xxhash.New()
	d.Write(dst[at:])
	d.Write(payload)
	dst = binary.LittleEndian.AppendUint64(dst, d.Sum64())
	return append(dst, payload...)
}

// parseRecord reads a record at the front of b. more is set where b is too short to tell.
func parseRecord(b []byte) (r Record, size int, more, ok bool) {
	if len(b) < recordHeaderBytes {
		return r, 0, true, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n > MaxRecord {
		return r, 0, false, false
	}
	r.Number, size = binary.LittleEndian.Uint64(b[4:]), recordHeaderBytes+int(n)
	if r.Number == 0 {
		return r, 0, false, false
	}
	if len(b) < size {
		return r, 0, true, false
	}
	d := xxhash.New()
	d.Write(b[:12])
	d.Write(b[recordHeaderBytes:size])
	if d.Sum64() != binary.LittleEndian.Uint64(b[12:]) {
		return r, 0, false, false
	}
	r.Payload = b[recordHeaderBytes:size]
	return r, size, false, true
}

func appendSegmentHeader(dst []byte, first uint64) []byte {
	at := len(dst)
	dst = append(append(dst, segmentMagic...), 0, 0, 0, 0)
	dst = binary.LittleEndian.AppendUint64(dst, first)
	return binary.LittleEndian.AppendUint64(dst, xxhash.Sum64(dst[at:]))
}

func validSegmentHeader(b []byte) bool {
	return len(b) >= segmentHeaderBytes && string(b[:4]) == segmentMagic &&
		xxhash.Sum64(b[:16]) == binary.LittleEndian.Uint64(b[16:])
}

// listing is what files a directory holds, in order.
func listFiles(fs FS, dir string) (segs []segment, snaps []snapshotFile, err error) {
	entries, err := fs.List(dir)
	if err != nil {
		return nil, nil, err
	}
	for _, e := range entries {
		name, ext, _ := strings.Cut(e.Name(), ".")
		no, err := strconv.ParseUint(name, 10, 64)
		if err != nil || len(name) != 20 || ext != "log" && ext != "snap" {
			continue
		}
		info, err := e.Info()
		if err != nil {
			return nil, nil, err
		}
		if ext == "log" {
			segs = append(segs, segment{e.Name(), no, info.Size()})
		} else {
			snaps = append(snaps, snapshotFile{no, info.Size()})
		}
	}
	slices.SortFunc(segs, func(a, b segment) int { return cmp.Compare(a.firstRecord, b.firstRecord) })
	slices.SortFunc(snaps, func(a, b snapshotFile) int { return cmp.Compare(a.record, b.record) })
	return segs, snaps, nil
}

// readSnapshot reads one; any damage is an error.
func readSnapshot(fs FS, dir string, no uint64) ([]byte, error) {
	f, err := fs.Open(filepath.Join(dir, snapshotName(no)))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(f)
	if err != nil {
		return nil, err
	}
	if len(b) < snapshotHeaderBytes || string(b[:4]) != snapshotMagic || binary.LittleEndian.Uint64(b[8:]) != no ||
		binary.LittleEndian.Uint64(b[16:]) != uint64(len(b)-snapshotHeaderBytes) {
		return nil, errors.New("not a whole snapshot")
	}
	d := xxhash.New()
	d.Write(b[:24])
	d.Write(b[snapshotHeaderBytes:])
	if d.Sum64() != binary.LittleEndian.Uint64(b[24:]) {
		return nil, errors.New("checksum is wrong")
	}
	return b[snapshotHeaderBytes:], nil
}

func encodeSnapshot(no uint64, payload []byte) []byte {
	b := append([]byte(snapshotMagic), 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, no)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(payload)))
	d := xxhash.New()
	d.Write(b)
	d.Write(payload)
	b = binary.LittleEndian.AppendUint64(b, d.Sum64())
	return append(b, payload...)
}

// scan reads one segment's records and calls take for each whole one, in the order of the file, with the offset
// behind it. It returns how many bytes at the end hold no record, and how many before that.
func scanSegment(f io.Reader, take func(r Record, from, to int64) error) (torn, skipped int64, err error) {
	const chunk = 256 << 10
	buf := make([]byte, 0, chunk)
	off, eof := int64(0), false // of buf in the file
	fill := func() error {
		if cap(buf)-len(buf) < chunk {
			buf = slices.Grow(buf, max(chunk, len(buf)))
		}
		n, err := io.ReadFull(f, buf[len(buf):len(buf)+chunk])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			eof, err = true, nil
		}
		return err
	}
	if err := fill(); err != nil {
		return 0, 0, err
	}
	at := 0
	if validSegmentHeader(buf) {
		at = segmentHeaderBytes
	}
	bad := int64(0) // bytes since the last record that are none
	for {
		r, size, more, ok := parseRecord(buf[at:])
		if more && !eof {
			buf = append(buf[:0], buf[at:]...)
			off += int64(at)
			at = 0
			if err := fill(); err != nil {
				return bad, skipped, err
			}
			continue
		}
		switch {
		case ok:
			skipped += bad
			bad = 0
			from := off + int64(at)
			at += size
			if err := take(r, from, from+int64(size)); err != nil {
				return 0, skipped, err
			}
		case at < len(buf):
			// A length that was damaged can't be stepped over: the next record may begin at any byte.
			bad++
			at++
		default:
			return bad, skipped, nil
		}
	}
}
