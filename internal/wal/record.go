package wal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	recordHeaderBytes   = 20
	recordChecksumStart = 12 // length and number are before it

	// MaxRecord is the longest payload of a record, in bytes.
	MaxRecord = 1 << 20
)

// Record is one entry of the log.
type Record struct {
	Number  uint64
	Payload []byte
}

func appendRecord(dst []byte, number uint64, payload []byte) []byte {
	start := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint64(dst, number)
	dst = binary.LittleEndian.AppendUint64(dst, checksum(dst[start:], payload))
	return append(dst, payload...)
}

// parseRecord reads a record at the front of b. more is set where b is too short to tell whether there is one.
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

// checksum is the XXH64 of a header and a payload.
func checksum(header, payload []byte) uint64 {
	d := xxhash.New()
	d.Write(header)
	d.Write(payload)
	return d.Sum64()
}
