package gateway

import (
	"encoding/binary"
	"errors"
)

// recordLengthBytes is the size of the length that precedes each record of a snapshot.
const recordLengthBytes = 4

var errSnapshotTruncated = errors.New("snapshot: truncated record")

// joinRecords encodes the records of a snapshot of the plan log or the spending log. Each one is preceded by
// its length in 4 bytes, little-endian.
func joinRecords(records [][]byte) (snapshot []byte) {
	for _, r := range records {
		snapshot = binary.LittleEndian.AppendUint32(snapshot, uint32(len(r)))
		snapshot = append(snapshot, r...)
	}
	return snapshot
}

// forEachRecord calls restore with each record that joinRecords encoded. It returns errSnapshotTruncated or
// the first error of restore.
func forEachRecord(snapshot []byte, restore func(record []byte) error) error {
	for len(snapshot) > 0 {
		if len(snapshot) < recordLengthBytes {
			return errSnapshotTruncated
		}
		length, rest := binary.LittleEndian.Uint32(snapshot), snapshot[recordLengthBytes:]
		if uint64(length) > uint64(len(rest)) {
			return errSnapshotTruncated
		}
		if err := restore(rest[:length]); err != nil {
			return err
		}
		snapshot = rest[length:]
	}
	return nil
}
