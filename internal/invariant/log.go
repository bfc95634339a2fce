package invariant

import (
	"bufio"
	"io"
	"sync"
	"time"
)

const (
	stallCheckPeriod = 5 * time.Millisecond
	stallThreshold   = 6 * stallCheckPeriod // a longer time between two checks is recorded as a stall
)

// Log collects the records of one scenario in memory and optionally writes them to a file. It is safe for
// concurrent use.
type Log struct {
	startedAt time.Time
	discard   bool // if true, Add drops all records

	mu      sync.Mutex // guards the fields below
	records []Record
	out     *bufio.Writer // nil if the records are not written
	err     error         // the first write error; no record is written after it
}

// Discard returns a log that drops all records.
func Discard() *Log { return &Log{startedAt: time.Now(), discard: true} }

// NewLog returns a log of a scenario that starts now. The records are also written to out unless it is nil.
func NewLog(out io.Writer) *Log {
	l := &Log{startedAt: time.Now()}
	if out != nil {
		l.out = bufio.NewWriterSize(out, recordBufferBytes)
	}
	return l
}

// Now returns the time since the scenario started.
func (l *Log) Now() time.Duration { return time.Since(l.startedAt) }

// Add adds a record. If r.At is 0, it is set to the time since the scenario started.
func (l *Log) Add(r Record) {
	if l.discard {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.At == 0 {
		r.At = time.Since(l.startedAt)
	}
	l.records = append(l.records, r)
	if l.out != nil && l.err == nil {
		l.err = writeRecord(l.out, r)
	}
}

// Records returns a copy of the records added so far.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Flush writes all buffered records to the writer given to NewLog. It returns the first write error since the
// log was created.
func (l *Log) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out != nil && l.err == nil {
		l.err = l.out.Flush()
	}
	return l.err
}

// WatchStalls adds a HarnessStalled record whenever this process did not run for more than stallThreshold. It
// returns when stop is closed. The checks use these records: a delay that overlaps a stall is not the fault
// of a gateway.
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
