package wal

import (
	"io"
	"path/filepath"
)

// Cursor reads durable records in order while the log is written. It is not safe for concurrent use.
type Cursor struct {
	// OnGap is called with records that are missing, unless it is nil.
	OnGap func(Gap)

	log     *Log
	next    uint64 // number of the next record
	file    io.Closer
	segment segment // of the file
	reader  *segmentReader
}

// NewCursor returns a cursor before the record of that number. Close closes its file.
func (l *Log) NewCursor(from uint64) *Cursor { return &Cursor{log: l, next: max(from, 1)} }

// Next returns the next durable record; ok is false where there is none yet. The payload is valid until the next call.
func (c *Cursor) Next() (r Record, ok bool, err error) {
	last := c.log.LastDurable()
	for c.next <= last {
		if c.reader == nil {
			if opened, err := c.open(); err != nil || !opened {
				return Record{}, false, err
			}
		}
		// The next record is durable, so what is none on the way to it is damage, not a write under way.
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
		case r.Number >= c.next:
			if r.Number > c.next && c.OnGap != nil {
				c.OnGap(Gap{c.next, r.Number - 1, c.segment.name, 0})
			}
			c.next = r.Number + 1
			return r, true, nil
		}
	}
	return Record{}, false, nil
}

// open opens the segment that should hold the next record; false: there are no segments.
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

// advance goes on at the end of a segment; false: there is nothing more yet. The current segment grows, and only ends
// where another one was begun.
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
	n, err := c.reader.fill()
	if next == nil || err != nil || n > 0 {
		c.reader.atEnd = false
		return err == nil && n > 0
	}
	// Filled once more after the new segment was seen, the one before it is read to its end.
	return c.openSegment(*next) == nil
}

// Close closes the file. Next opens it again.
func (c *Cursor) Close() {
	if c.file != nil {
		c.file.Close()
		c.file, c.reader = nil, nil
	}
}
