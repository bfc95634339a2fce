// Package audit judges the five rules by what passed sockets at clients and nodes, what nodes ran, and when
// each gateway was told of a change. It sees nothing of a gateway's inside.
package invariant

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// Kind says what a record tells.
type Kind string

// The kinds of record. At clients: Call, Answer, Down, Leave. At nodes: Arrive, Run, Ran, Repeat, Turned,
// Replied, Withdrawn, Cold, Fell. At the list: Told. Of the day itself: Process, Late.
const (
	Call           Kind = "call"      // a client wrote a call
	Answer         Kind = "answer"    // a client read an answer
	SessionClosed  Kind = "down"      // a client found its session closed by the gateway or broken
	ClientLeft     Kind = "leave"     // a client left by itself, or ceased to read; nothing is owed to it any more
	Received       Kind = "arrive"    // a node read a call
	WorkStarted    Kind = "run"       // a node began its work: from here on it has its effect
	WorkEnded      Kind = "ran"       // and ended it
	Deduplicated   Kind = "repeat"    // a node dropped it as a repeat
	ServerRejected Kind = "turned"    // a node turned it away unseen
	ServerAnswered Kind = "replied"   // a node wrote the answer
	Cancelled      Kind = "withdrawn" // a node read that it is cancelled, or its connection ended
	SlowStarted    Kind = "cold"      // a node started; its capacity grows from a part to all
	Overloaded     Kind = "fell"      // it fell over
	PlanChanged    Kind = "terms"     // a member is put on the plan State
	EndpointSent   Kind = "told"      // the list wrote a node's state to a gateway
	ProcessChanged Kind = "process"   // a gateway's process: up, term, kill, stop, cont, exit
	HarnessStalled Kind = "late"      // the day's own process stood still
)

// Record is one thing that was seen. Times are since the day began.
type Record struct {
	At              time.Duration `json:"t"`
	Kind            Kind          `json:"k"`
	Gateway         int           `json:"g,omitempty"` // rank, where it is known
	Session         string        `json:"s,omitempty"`
	CallID          string        `json:"try,omitempty"` // a client's name of the call; travels in the work
	Request         string        `json:"req,omitempty"` // the gateway's
	Attempt         int           `json:"n,omitempty"`
	Server          string        `json:"node,omitempty"`
	Zone            string        `json:"zone,omitempty"`
	Cell            int           `json:"cell,omitempty"`
	Member          string        `json:"m,omitempty"`
	Class           string        `json:"c,omitempty"`
	Key             string        `json:"key,omitempty"`
	Units           float64       `json:"u,omitempty"`
	Work            time.Duration `json:"w,omitempty"` // of a core at its speed
	Deadline        time.Duration `json:"d,omitempty"` // of a call; of an arrival, when the gateway gives up
	Answer          string        `json:"a,omitempty"` // served, refused, failed, or invalid
	State           string        `json:"state,omitempty"`
	Code            int           `json:"code,omitempty"`
	Capacity        float64       `json:"cap,omitempty"`  // seconds of work a second, warm
	InitialCapacity float64       `json:"from,omitempty"` // part of it at the start
	Duration        time.Duration `json:"for,omitempty"`
}

// Log gathers records of one day, in memory and, if given one, in a file. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	began   time.Time
	records []Record
	out     *bufio.Writer
	err     error
	discard bool // keeps nothing
}

// Discard is a log that keeps nothing.
func Discard() *Log { return &Log{began: time.Now(), discard: true} }

// NewLog begins a day. out may be nil.
func NewLog(out io.Writer) *Log {
	l := &Log{began: time.Now()}
	if out != nil {
		l.out = bufio.NewWriterSize(out, 1<<16)
	}
	return l
}

// Now is the time since the day began.
func (l *Log) Now() time.Duration { return time.Since(l.began) }

// Add stamps a record, unless it has a time, and keeps it.
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
		raw, err := json.Marshal(r)
		if err == nil {
			_, err = l.out.Write(append(raw, '\n'))
		}
		l.err = err
	}
}

// Records returns what was kept so far.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Flush hands what was kept to the file.
func (l *Log) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out != nil && l.err == nil {
		l.err = l.out.Flush()
	}
	return l.err
}

// Read reads what a Log wrote to a file.
func ReadRecords(r io.Reader) ([]Record, error) {
	var out []Record
	dec := json.NewDecoder(bufio.NewReaderSize(r, 1<<16))
	for {
		var rec Record
		err := dec.Decode(&rec)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, fmt.Errorf("audit: record %d: %w", len(out)+1, err)
		}
		out = append(out, rec)
	}
}

// Watch notes when this process stands still, until stop is closed: what is late then says nothing of a
// gateway.
func (l *Log) WatchStalls(stop <-chan struct{}) {
	const tick = 5 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(tick):
		}
		now := time.Now()
		if gap := now.Sub(last); gap > 6*tick {
			l.Add(Record{Kind: HarnessStalled, Duration: gap})
		}
		last = now
	}
}
