package platform

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	logQueueLines   = 512                    // that wait to be written
	logFlushTimeout = 100 * time.Millisecond // for what waits at the end
)

// LogWriter writes a log without ever waiting for who reads it: nothing that serves requests may stand still for a log. Lines
// that find no room are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewLogWriter starts a writer; each Write is a line.
func NewLogWriter(to io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go func() {
		for line := range l.lines {
			if line == nil {
				close(l.done)
				return
			}
			if n := l.dropped.Swap(0); n > 0 {
				fmt.Fprintf(to, "level=WARN msg=\"lines of the log were dropped\" lines=%d\n", n)
			}
			to.Write(line)
		}
	}()
	return l
}

// Write takes a line.
func (l *LogWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, for a bounded time. What is written to it later is lost.
func (l *LogWriter) Close() {
	over := time.After(logFlushTimeout)
	select {
	case l.lines <- nil: // the end
	case <-over:
		return
	}
	select {
	case <-l.done:
	case <-over:
	}
}
