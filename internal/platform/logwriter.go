package platform

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	logQueueLines   = 512                    // that wait to be written
	logFlushTimeout = 100 * time.Millisecond // for lines that wait at the end
)

// LogWriter writes a log without waiting for its reader. The reader of standard error may have exited or be stopped;
// a request must not wait for it. Lines that find the queue full are dropped and counted in a line of their own.
type LogWriter struct {
	lines   chan []byte // nil is the end
	dropped atomic.Int64
	done    chan struct{} // closed behind the last line
}

// NewLogWriter returns a writer to out; each Write is a line. Its goroutine runs until Close, or until the process
// ends where out blocks for good.
func NewLogWriter(out io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go l.run(out)
	return l
}

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

// Write queues a line. It never fails.
func (l *LogWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait, for logFlushTimeout at most. Later lines are lost.
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
