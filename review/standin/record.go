package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: one line for each thing that was sent, answered or run. The first
// column is the time since the start of the case in milliseconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := float64(time.Since(r.start).Microseconds()) / 1000
	fmt.Fprintf(r.out, "%10.3f %s\n", ms, fmt.Sprintf(format, args...))
}

// say writes one line and prints it.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.add(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
