// Package wal is a write-ahead log: numbered records in segments, each with a checksum, written by group commit in
// three modes of durability, with snapshots that let old segments be removed, and a bound on the disk it takes.
//
// # Contract
//
// Append numbers a record and returns at once. A writer goroutine of the log writes what was appended since its last
// turn in one write and, as the mode says, one sync; Options.OnDurable then tells up to which record all are durable.
// After a failed write or sync nothing of that file counts: all records that are not durable are written to a new
// segment, as often as it takes. Snapshot stores the owner's state as of a record; a recovery begins there. A Cursor
// reads the durable records while the log is written.
//
// Open starts the writer, and Close stops it once all is written; Close also waits for a snapshot under way.
//
// # Files
//
// A log is a directory. Segments are named by their first record's number in 20 digits, as
// "00000000000000000001.log". A segment begins with 24 bytes: "WHL1", four zero bytes, the number of its first record
// and the XXH64 of these 16. A record is 20 bytes and its payload:
//
//	length of the payload  4 bytes
//	number                 8 bytes
//	XXH64                  8 bytes, of length, number and payload
//
// all little-endian. Snapshots are named "00000000000000000001.snap" by the last record that they cover and hold
// "WHS1", four zero bytes, that number, the length of the payload in 8 bytes, the XXH64 of all this and of the payload,
// and the payload. The file LOCK keeps a second process out. Files whose names end in ".new" were left by
// a crash.
//
// # Damage
//
// Only the numbers show what is missing. Bytes that are no record are skipped up to the next record whose checksum is
// right. At the end of the log they are a torn tail, of which nothing was acknowledged in the modes that sync. Where
// later records follow and numbers are missing it is a gap, which is reported, bounded by the numbers on both sides,
// and does not keep the rest from being read. A record that comes twice, as after a failed write, counts once.
package wal
