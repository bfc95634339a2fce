package socket

import (
	"io"
	"sync"
	"syscall"
	"time"
)

// Reader is an io.Reader for a socket that retries reads after transient errors. It holds the lock of its
// owner during each read system call and while it reports the bytes read to the owner. While the owner
// holds the lock, received bytes are therefore either still in the socket, where Peek sees them, or known
// to the owner. A Reader is not safe for concurrent use.
type Reader struct {
	raw    syscall.RawConn
	lock   sync.Locker
	onRead func(n int)

	// These are the arguments and results of the read in progress. readFunc is a field because a method
	// value would be allocated for each read.
	buf      []byte
	n        int
	err      error
	waited   bool // whether nothing had arrived when the read began
	readFunc func(fd uintptr) bool

	busy BusyLimit
}

// NewReader returns a Reader for a socket. It calls onRead, with lock held, after each read system call
// that will not be retried. n is the number of bytes read, or zero if the connection has ended or failed.
func NewReader(raw syscall.RawConn, lock sync.Locker, onRead func(n int)) *Reader {
	r := &Reader{raw: raw, lock: lock, onRead: onRead}
	r.readFunc = r.readNow
	r.busy.NoteWait()
	return r
}

// Read implements io.Reader. It blocks until bytes have arrived, the connection ends or fails, or the
// deadline passes. If bytes keep arriving faster than they are read, it pauses now and then, see [BusyLimit].
func (r *Reader) Read(b []byte) (int, error) {
	r.busy.PauseIfBusy()
	r.buf, r.waited = b, false
	defer func() { r.buf = nil }() // a connection may linger for long after its last read
	for {
		if err := r.raw.Read(r.readFunc); err != nil {
			return 0, err
		}
		if r.waited {
			r.busy.NoteWait()
		}
		if r.err != nil && IsTransient(r.err) {
			time.Sleep(RetryDelay)
			continue
		}
		if r.n == 0 && r.err == nil {
			return 0, io.EOF
		}
		return r.n, r.err
	}
}

// Waited reports whether the read in progress, or else the last one, had to wait for bytes to arrive.
func (r *Reader) Waited() bool { return r.waited }

// readNow performs one non-blocking read. It returns false if nothing has arrived, which makes the runtime
// call it again once the socket is readable.
func (r *Reader) readNow(fd uintptr) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.n, r.err = ReadNow(fd, r.buf)
	if r.err == syscall.EAGAIN {
		r.waited = true
		return false
	}
	if r.err == nil || !IsTransient(r.err) {
		r.onRead(r.n)
	}
	return true
}
