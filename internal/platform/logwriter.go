package platform

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	logQueueLines   = 512                    // largest number of lines waiting to be written
	logFlushTimeout = 100 * time.Millisecond // time for Close to write the waiting lines
)

// LogWriter is an io.Writer for logs that never blocks its caller. The reader of standard error may have
// exited or may be stopped, and requests must not wait for it. Lines are dropped while the queue is full; a
// line of its own then reports their number.
type LogWriter struct {
	lines   chan []byte   // queue of lines; nil marks the end
	dropped atomic.Int64  // number of lines dropped since the last report
	done    chan struct{} // closed after the last line is written
}

// NewLogWriter returns a writer that forwards lines to out. Each call of Write must pass one line. The
// writer's goroutine ends with Close. If out blocks forever, the goroutine remains until the process exits.
func NewLogWriter(out io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go l.run(out)
	return l
}

// run writes queued lines to out until Close.
func (l *LogWriter) run(out io.Writer) {
	for line := range l.lines {
		if line == nil {
			close(l.done)
			return
		}
		if n := l.dropped.Swap(0); n > 0 {
			fmt.Fprintf(out, "level=WARN msg=\"Log lines were dropped\" lines=%d\n", n)
		}
		out.Write(line)
	}
}

// Write queues a copy of a line, or drops the line if the queue is full. It never returns an error.
func (l *LogWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the queued lines are written, at most logFlushTimeout. Lines passed to Write afterwards
// are lost.
func (l *LogWriter) Close() {
	timeout := time.After(logFlushTimeout)
	select {
	case l.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-l.done:
	case <-timeout:
	}
}
