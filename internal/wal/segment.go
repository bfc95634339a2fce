package wal

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	segmentMagic         = "WHL1"
	segmentHeaderBytes   = 24
	segmentChecksumStart = 16 // offset of the checksum in the header

	nameDigits   = 20 // digits of the record number in a file name
	segmentExt   = "log"
	snapshotExt  = "snap"
	readBytes    = 128 << 10 // bytes requested from a file in one read
	magicPadding = "\x00\x00\x00\x00"
)

// segment describes a segment file.
type segment struct {
	name        string // file name
	firstRecord uint64 // number of its first record
	size        int64  // size in bytes
}

// snapshotFile describes a snapshot file.
type snapshotFile struct {
	record uint64 // number of the last record that it covers
	size   int64  // size in bytes
}

// segmentName returns the file name of the segment that starts with a record.
func segmentName(number uint64) string {
	return fmt.Sprintf("%0*d.%s", nameDigits, number, segmentExt)
}

// snapshotName returns the file name of the snapshot that covers all records up to a number.
func snapshotName(number uint64) string {
	return fmt.Sprintf("%0*d.%s", nameDigits, number, snapshotExt)
}

// appendSegmentHeader appends an encoded segment header to dst.
func appendSegmentHeader(dst []byte, firstRecord uint64) []byte {
	start := len(dst)
	dst = append(dst, segmentMagic+magicPadding...)
	dst = binary.LittleEndian.AppendUint64(dst, firstRecord)
	return binary.LittleEndian.AppendUint64(dst, xxhash.Sum64(dst[start:]))
}

// validSegmentHeader reports whether b starts with an undamaged segment header.
func validSegmentHeader(b []byte) bool {
	return len(b) >= segmentHeaderBytes && string(b[:len(segmentMagic)]) == segmentMagic &&
		xxhash.Sum64(b[:segmentChecksumStart]) == binary.LittleEndian.Uint64(b[segmentChecksumStart:])
}

// listFiles returns the segments and snapshots of a directory, each sorted by record number. It ignores other
// files.
func listFiles(fs FS, dir string) (segments []segment, snapshots []snapshotFile, err error) {
	entries, err := fs.List(dir)
	if err != nil {
		return nil, nil, err
	}
	for _, e := range entries {
		name, ext, _ := strings.Cut(e.Name(), ".")
		number, err := strconv.ParseUint(name, 10, 64)
		if err != nil || len(name) != nameDigits || ext != segmentExt && ext != snapshotExt {
			continue
		}
		info, err := e.Info()
		if err != nil {
			return nil, nil, err
		}
		if ext == segmentExt {
			segments = append(segments, segment{e.Name(), number, info.Size()})
		} else {
			snapshots = append(snapshots, snapshotFile{number, info.Size()})
		}
	}
	slices.SortFunc(segments, func(a, b segment) int { return cmp.Compare(a.firstRecord, b.firstRecord) })
	slices.SortFunc(snapshots, func(a, b snapshotFile) int { return cmp.Compare(a.record, b.record) })
	return segments, snapshots, nil
}

// segmentReader reads the records of a segment and skips bytes that do not form a valid record.
type segmentReader struct {
	file     io.Reader
	buffer   []byte
	next     int   // offset in buffer of the next byte to parse
	base     int64 // offset in the file of the start of buffer
	atEnd    bool  // the last read returned no data
	lastSize int   // encoded size in bytes of the record returned last
	torn     int64 // invalid bytes after the record returned last
	skipped  int64 // invalid bytes before the record returned last
}

// start reads the beginning of the segment and steps over its header. A damaged header is skipped by read
// like other damage.
func (r *segmentReader) start() error {
	if _, err := r.fill(); err != nil {
		return err
	}
	if validSegmentHeader(r.buffer) {
		r.next = segmentHeaderBytes
	}
	return nil
}

// read returns the next record and its offset in the file in bytes. At the end of the file, ok is false. The
// payload is valid until the next call.
func (r *segmentReader) read() (rec Record, at int64, ok bool, err error) {
	for {
		rec, size, more, ok := parseRecord(r.buffer[r.next:])
		switch {
		case ok:
			at := r.base + int64(r.next)
			r.next += size
			r.lastSize = size
			r.skipped += r.torn
			r.torn = 0
			return rec, at, true, nil
		case more && !r.atEnd:
			bytesRead, err := r.fill()
			if err != nil {
				return Record{}, 0, false, err
			}
			r.atEnd = bytesRead == 0
		case r.next < len(r.buffer):
			// The length may be damaged, so it cannot be used to find the next record, which may start at any
			// byte.
			r.torn++
			r.next++
		default:
			return Record{}, 0, false, nil
		}
	}
}

// unread makes the next read return the last record again.
func (r *segmentReader) unread() { r.next -= r.lastSize }

// fill drops the parsed bytes from the buffer, reads more of the file into it and returns the number of bytes
// read.
func (r *segmentReader) fill() (int, error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.next:]...)
	r.base += int64(r.next)
	r.next = 0
	if cap(r.buffer)-len(r.buffer) < readBytes {
		r.buffer = slices.Grow(r.buffer, max(readBytes, len(r.buffer)))
	}
	n, err := io.ReadFull(r.file, r.buffer[len(r.buffer):len(r.buffer)+readBytes])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return n, err
}

// scanSegment calls visit for each record of a segment in file order, with the offsets of its start and its
// end. It returns the number of invalid bytes after the last record (torn) and before it (skipped).
func scanSegment(f io.Reader, visit func(r Record, from, to int64) error) (torn, skipped int64, err error) {
	reader := &segmentReader{file: f}
	if err := reader.start(); err != nil {
		return 0, 0, err
	}
	for {
		r, at, ok, err := reader.read()
		if err != nil || !ok {
			return reader.torn, reader.skipped, err
		}
		if err := visit(r, at, at+int64(reader.lastSize)); err != nil {
			return 0, reader.skipped, err
		}
	}
}
