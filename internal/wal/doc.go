// Package wal implements a write-ahead log. The log is a sequence of numbered, checksummed records, stored in
// segment files and written by group commit in one of three durability modes. Snapshots of the owner's state
// allow old segments to be removed, and the disk space of the log can be limited.
//
// # Operation
//
// Append assigns a number to a record and returns immediately. The log's writer goroutine writes all records
// that were appended since its last pass with a single write and, depending on the mode, a single sync. It
// then calls Options.OnDurable with the number of the last record up to which all records are durable. If a
// write or a sync fails, the current file is abandoned, and all records that are not yet durable are written
// to a new segment. This is retried until it succeeds. Snapshot stores the owner's state as of a record, and
// recovery starts from there. A Cursor reads the durable records while the log is being written.
//
// Open starts the writer goroutine. Close stops it after all records are written, and waits for a running
// snapshot.
//
// # Files
//
// A log is a directory. A segment is named after the number of its first record in 20 digits, for example
// "00000000000000000001.log". It starts with a header of 24 bytes: "WHL1", four zero bytes, the number of its
// first record and the XXH64 checksum of these 16 bytes. A record consists of 20 bytes followed by its
// payload:
//
//	length of the payload  4 bytes
//	number                 8 bytes
//	XXH64                  8 bytes, of length, number and payload
//
// All integers are little-endian. A snapshot is named after the last record that it covers, for example
// "00000000000000000001.snap". It contains "WHS1", four zero bytes, that number, the length of the payload in
// 8 bytes, the XXH64 checksum of all preceding bytes and the payload, and finally the payload. The file LOCK
// prevents a second process from opening the log. Files with the suffix ".new" are left over from a crash.
//
// # Damage
//
// Missing records are detected only by their numbers. Bytes that do not form a valid record are skipped up to
// the next record with a correct checksum. At the end of the log such bytes are a torn tail; in the modes
// that sync, no record in it was acknowledged. If records with higher numbers follow, the missing numbers are
// reported as a gap, which gives the first and last missing number, and reading continues after it. A record
// that occurs twice, for example after a failed write, is counted once.
package wal
