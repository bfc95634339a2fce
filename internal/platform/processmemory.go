package platform

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
)

// processMemory is the memory of a process as the kernel counts it, in bytes.
type processMemory struct {
	resident  int64 // all pages of the process in memory
	peak      int64 // largest value of resident since the process started
	anonymous int64 // the part of resident that no file backs: heap, stacks and data
	file      int64 // the part of resident that is mapped from files: the binary and its libraries
}

// maxProcessStatusBytes is enough for a status file of the kernel, whose lists of processors and memory nodes
// grow with the machine. The fields for memory stand before these lists.
const maxProcessStatusBytes = 4 << 10

// parseProcessMemory parses a status file of the kernel, /proc/PID/status. A field that is missing is 0.
func parseProcessMemory(status []byte) (processMemory, error) {
	var m processMemory
	fields := map[string]*int64{
		"VmRSS": &m.resident, "VmHWM": &m.peak, "RssAnon": &m.anonymous, "RssFile": &m.file,
	}
	for line := range bytes.Lines(status) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		field := fields[string(name)]
		if field == nil {
			continue
		}
		kib, err := strconv.ParseInt(string(bytes.TrimSuffix(bytes.TrimSpace(value), []byte(" kB"))), 10, 64)
		if err != nil {
			return processMemory{}, fmt.Errorf("process status: %s: %w", name, err)
		}
		*field = kib << 10
	}
	return m, nil
}

// errNoMeter is the error of a meter that could not be opened.
var errNoMeter = errors.New("the kernel's status file of the process could not be opened")

// memoryMeter measures the memory of this process. It keeps the file of the kernel open, because descriptors may
// be short when the figures matter. It is safe for concurrent use. A nil
// *memoryMeter is valid and cannot measure anything.
type memoryMeter struct {
	status *os.File

	mu  sync.Mutex
	buf [maxProcessStatusBytes]byte // guarded by mu
}

// processStatusFile is the status file of this process. A test replaces it.
var processStatusFile = "/proc/self/status"

// newMemoryMeter returns a meter of this process. The caller has to close it.
func newMemoryMeter() (*memoryMeter, error) {
	f, err := os.Open(processStatusFile)
	if err != nil {
		return nil, err
	}
	return &memoryMeter{status: f}, nil
}

// close closes the file of the kernel. No other method may be called afterwards.
func (m *memoryMeter) close() {
	if m != nil {
		m.status.Close()
	}
}

// read returns the current figures.
func (m *memoryMeter) read() (processMemory, error) {
	if m == nil {
		return processMemory{}, errNoMeter
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n, err := m.status.ReadAt(m.buf[:], 0)
	if n == 0 {
		return processMemory{}, fmt.Errorf("process status: %w", err)
	}
	return parseProcessMemory(m.buf[:n])
}
