package wal

import (
	"io"
	"path/filepath"
)

// Cursor reads durable records in order while the log is written. It is not safe for concurrent use.
type Cursor struct {
	// OnGap, unless nil, is called by Next for each gap of missing records.
	OnGap func(Gap)

	log     *Log
	next    uint64    // number of the next record to return
	file    io.Closer // nil if no segment is open
	segment segment   // the segment that file reads
	reader  *segmentReader
}

// NewCursor returns a cursor whose next record is the one with the number from; 0 means record 1. The caller
// must close the cursor to release its file.
func (l *Log) NewCursor(from uint64) *Cursor { return &Cursor{log: l, next: max(from, 1)} }

// Next returns the next durable record. If there is none yet, ok is false. The payload is valid until the
// next call. An error means that a segment could not be opened or read.
func (c *Cursor) Next() (r Record, ok bool, err error) {
	last := c.log.LastDurable()
	for c.next <= last {
		if c.reader == nil {
			if opened, err := c.open(); err != nil || !opened {
				return Record{}, false, err
			}
		}
		// The next record is durable, so invalid bytes before it are damage and not a write in progress.
		r, _, ok, err := c.reader.read()
		switch {
		case err != nil:
			return Record{}, false, err
		case !ok:
			if !c.advance() {
				return Record{}, false, nil
			}
		case r.Number > last:
			c.reader.unread()
			return Record{}, false, nil
		case r.Number >= c.next: // a record with a lower number precedes the cursor or is a duplicate
			if r.Number > c.next && c.OnGap != nil {
				c.OnGap(Gap{c.next, r.Number - 1, c.segment.name, 0})
			}
			c.next = r.Number + 1
			return r, true, nil
		}
	}
	return Record{}, false, nil
}

// open opens the segment that should contain the next record. It returns false if the log has no segments.
func (c *Cursor) open() (bool, error) {
	c.log.mu.Lock()
	var found *segment
	for i := range c.log.segments {
		if s := c.log.segments[i]; s.firstRecord <= c.next || found == nil {
			found = &s
		}
	}
	c.log.mu.Unlock()
	if found == nil {
		return false, nil
	}
	return true, c.openSegment(*found)
}

// openSegment closes the open segment and opens another one, reusing the read buffer.
func (c *Cursor) openSegment(s segment) error {
	f, err := c.log.options.FS.Open(filepath.Join(c.log.dir, s.name))
	if err != nil {
		return err
	}
	var buffer []byte
	if c.reader != nil {
		buffer = c.reader.buffer[:0]
	}
	c.Close()
	c.file, c.segment, c.reader = f, s, &segmentReader{file: f, buffer: buffer}
	return c.reader.start()
}

// advance continues at the end of the open segment: it reads more of this segment, or opens the next one. It
// returns false if there is no more data yet. The newest segment may still grow; a segment is complete only
// once a newer one exists. After an error it also returns false, and the next call tries again.
func (c *Cursor) advance() bool {
	c.log.mu.Lock()
	var next *segment
	for i := range c.log.segments {
		if s := c.log.segments[i]; s.firstRecord > c.segment.firstRecord {
			next = &s
			break
		}
	}
	c.log.mu.Unlock()
	bytesRead, err := c.reader.fill()
	if next == nil || err != nil || bytesRead > 0 {
		c.reader.atEnd = false
		return err == nil && bytesRead > 0
	}
	// A read after the newer segment was found returned no data, so the open segment has been read
	// completely.
	return c.openSegment(*next) == nil
}

// Close closes the open segment, if any. Next opens it again.
func (c *Cursor) Close() {
	if c.file != nil {
		c.file.Close()
		c.file, c.reader = nil, nil
	}
}
