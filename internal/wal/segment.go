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
	segmentChecksumStart = 16

	nameDigits   = 20
	segmentExt   = "log"
	snapshotExt  = "snap"
	readAtOnce   = 128 << 10 // bytes
	zeroMagicPad = "\x00\x00\x00\x00"
)

type segment struct {
	name        string
	firstRecord uint64
	size        int64 // bytes
}

type snapshotFile struct {
	record uint64 // last one that it covers
	size   int64  // bytes
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%0*d.%s", nameDigits, number, segmentExt)
}

func snapshotName(number uint64) string {
	return fmt.Sprintf("%0*d.%s", nameDigits, number, snapshotExt)
}

func appendSegmentHeader(dst []byte, firstRecord uint64) []byte {
	start := len(dst)
	dst = append(dst, segmentMagic+zeroMagicPad...)
	dst = binary.LittleEndian.AppendUint64(dst, firstRecord)
	return binary.LittleEndian.AppendUint64(dst, xxhash.Sum64(dst[start:]))
}

func validSegmentHeader(b []byte) bool {
	return len(b) >= segmentHeaderBytes && string(b[:len(segmentMagic)]) == segmentMagic &&
		xxhash.Sum64(b[:segmentChecksumStart]) == binary.LittleEndian.Uint64(b[segmentChecksumStart:])
}

// listFiles lists the segments and snapshots of a directory by their numbers.
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

// segmentReader reads the records of a segment and skips what is none.
type segmentReader struct {
	file     io.Reader
	buffer   []byte
	next     int   // in buffer, of what is read next
	base     int64 // of buffer in the file
	atEnd    bool  // the file has no more than buffer
	lastSize int   // of the last record, in bytes
	torn     int64 // bytes since the last record that are none
	skipped  int64 // bytes before the last record that are none
}

// start reads the front of the segment. A damaged header is skipped as other damage is.
func (r *segmentReader) start() error {
	if _, err := r.fill(); err != nil {
		return err
	}
	if validSegmentHeader(r.buffer) {
		r.next = segmentHeaderBytes
	}
	return nil
}

// read returns the next record and its offset in the file; ok is false at the end. The payload is valid until the next
// call.
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
			n, err := r.fill()
			if err != nil {
				return Record{}, 0, false, err
			}
			r.atEnd = n == 0
		case r.next < len(r.buffer):
			// A damaged length can't be stepped over: the next record may begin at any byte.
			r.torn++
			r.next++
		default:
			return Record{}, 0, false, nil
		}
	}
}

// unread puts the last record back, to be read again.
func (r *segmentReader) unread() { r.next -= r.lastSize }

// fill reads on in the file and returns how many bytes came.
func (r *segmentReader) fill() (int, error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.next:]...)
	r.base += int64(r.next)
	r.next = 0
	if cap(r.buffer)-len(r.buffer) < readAtOnce {
		r.buffer = slices.Grow(r.buffer, max(readAtOnce, len(r.buffer)))
	}
	n, err := io.ReadFull(r.file, r.buffer[len(r.buffer):len(r.buffer)+readAtOnce])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return n, err
}

// scanSegment calls take for each record of a segment, in the order of the file, with the offsets of its begin and its
// end. It returns how many bytes at the end are no record, and how many before that.
func scanSegment(f io.Reader, take func(r Record, from, to int64) error) (torn, skipped int64, err error) {
	reader := &segmentReader{file: f}
	if err := reader.start(); err != nil {
		return 0, 0, err
	}
	for {
		r, at, ok, err := reader.read()
		if err != nil || !ok {
			return reader.torn, reader.skipped, err
		}
		if err := take(r, at, at+int64(reader.lastSize)); err != nil {
			return 0, reader.skipped, err
		}
	}
}
