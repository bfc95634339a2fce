package invariant

import (
	"bufio"
	"io"
	"sync"
	"time"
)

const (
	stallCheckPeriod = 5 * time.Millisecond
	stallThreshold   = 6 * stallCheckPeriod // a longer pause between two checks is a stall
)

// Log collects the records of one scenario, in memory and, if given one, in a file. It is safe for concurrent use.
type Log struct {
	began   time.Time
	discard bool // keeps nothing

	mu      sync.Mutex // guards the fields below
	records []Record
	out     *bufio.Writer
	err     error // the first of writing; nothing is written after it
}

// Discard returns a log that keeps nothing.
func Discard() *Log { return &Log{began: time.Now(), discard: true} }

// NewLog begins a scenario. Records are also written to out, unless it is nil.
func NewLog(out io.Writer) *Log {
	l := &Log{began: time.Now()}
	if out != nil {
		l.out = bufio.NewWriterSize(out, recordBufferBytes)
	}
	return l
}

// Now is the time since the scenario began.
func (l *Log) Now() time.Duration { return time.Since(l.began) }

// Add adds a record. A record without a time gets the present one.
func (l *Log) Add(r Record) {
	if l.discard {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.At == 0 {
		r.At = time.Since(l.began)
	}
	l.records = append(l.records, r)
	if l.out != nil && l.err == nil {
		l.err = writeRecord(l.out, r)
	}
}

// Records returns a copy of the records so far.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Flush writes buffered records to the file. It returns the first error of writing since the log began.
func (l *Log) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out != nil && l.err == nil {
		l.err = l.out.Flush()
	}
	return l.err
}

// WatchStalls adds a HarnessStalled record whenever this process did not run for a while, until stop is closed.
// Lateness that falls into a stall is no fault of a gateway.
func (l *Log) WatchStalls(stop <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(stallCheckPeriod):
		}
		now := time.Now()
		if pause := now.Sub(last); pause > stallThreshold {
			l.Add(Record{Kind: HarnessStalled, Duration: pause})
		}
		last = now
	}
}
