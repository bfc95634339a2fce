package wal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	recordHeaderBytes   = 20
	recordChecksumStart = 12 // offset of the checksum, which follows the length and the number

	// MaxRecord is the maximum length of a record's payload in bytes.
	MaxRecord = 1 << 20
)

// Record is one entry of the log.
type Record struct {
	Number  uint64 // position in the log, starting at 1
	Payload []byte
}

// appendRecord appends an encoded record to dst.
func appendRecord(dst []byte, number uint64, payload []byte) []byte {
	start := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint64(dst, number)
	dst = binary.LittleEndian.AppendUint64(dst, checksum(dst[start:], payload))
	return append(dst, payload...)
}

// parseRecord decodes the record at the start of b and returns its encoded size in bytes. ok reports whether
// there is a valid record; more reports whether b is too short to decide this.
func parseRecord(b []byte) (r Record, size int, more, ok bool) {
	if len(b) < recordHeaderBytes {
		return r, 0, true, false
	}
	length := binary.LittleEndian.Uint32(b)
	if length > MaxRecord {
		return r, 0, false, false
	}
	r.Number, size = binary.LittleEndian.Uint64(b[4:]), recordHeaderBytes+int(length)
	if r.Number == 0 {
		return r, 0, false, false
	}
	if len(b) < size {
		return r, 0, true, false
	}
	r.Payload = b[recordHeaderBytes:size]
	if checksum(b[:recordChecksumStart], r.Payload) != binary.LittleEndian.Uint64(b[recordChecksumStart:]) {
		return r, 0, false, false
	}
	return r, size, false, true
}

// checksum returns the XXH64 checksum of a header followed by a payload.
func checksum(header, payload []byte) uint64 {
	digest := xxhash.New()
	digest.Write(header)
	digest.Write(payload)
	return digest.Sum64()
}
