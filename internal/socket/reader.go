package socket

import (
	"io"
	"sync"
	"syscall"
	"time"
)

// Reader reads from a socket, past transient errors. Each read holds its owner's lock, so that bytes are either still
// in the socket, where Peek sees them, or noted by the owner. It is not safe for concurrent use.
type Reader struct {
	raw  syscall.RawConn
	lock sync.Locker
	note func(n int)

	// The arguments and results of the read under way. step is a field as a method value would be allocated at each read.
	buf  []byte
	n    int
	err  error
	step func(fd uintptr) bool
}

// NewReader returns a reader of a socket. note is called after each read that is not to be retried, with the number of
// bytes read, 0 at the end of the connection or if it broke; lock is held.
func NewReader(raw syscall.RawConn, lock sync.Locker, note func(n int)) *Reader {
	r := &Reader{raw: raw, lock: lock, note: note}
	r.step = r.readNow
	return r
}

// Read implements io.Reader. It waits until there are bytes, the connection ends or breaks, or a deadline passes.
func (r *Reader) Read(b []byte) (int, error) {
	r.buf = b
	for {
		if err := r.raw.Read(r.step); err != nil {
			return 0, err
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

// readNow makes one read that does not wait; false has the runtime call it again once the socket is readable.
func (r *Reader) readNow(fd uintptr) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.n, r.err = ReadNow(fd, r.buf)
	if r.err == syscall.EAGAIN {
		return false
	}
	if r.err == nil || !IsTransient(r.err) {
		r.note(r.n)
	}
	return true
}
