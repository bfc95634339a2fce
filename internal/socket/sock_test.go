package socket

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// flaky fails each other call for a moment, and takes and gives little at once.
type flaky struct {
	net.Conn
	calls int
	data  bytes.Buffer
	fatal error
}

func (f *flaky) fails() error {
	f.calls++
	if f.calls%2 == 1 {
		return &net.OpError{Op: "write", Err: os.NewSyscallError("write", []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR}[f.calls/2%3])}
	}
	return f.fatal
}

func (f *flaky) Write(b []byte) (int, error) {
	if err := f.fails(); err != nil {
		return 0, err
	}
	return f.data.Write(b[:min(3, len(b))])
}

func (f *flaky) Read(b []byte) (int, error) {
	if err := f.fails(); err != nil {
		return 0, err
	}
	return f.data.Read(b[:min(3, len(b))])
}

func (f *flaky) SetWriteDeadline(time.Time) error { return nil }

// What fails for a moment is tried again, nothing is written or read twice, and a real error ends it.
func TestPatient(t *testing.T) {
	f := &flaky{}
	text := []byte("a text that is written in many steps")
	for rest := text; len(rest) > 0; {
		n, err := WithRetry(f).Write(rest[:min(3, len(rest))])
		if err != nil {
			t.Fatal(err)
		}
		rest = rest[n:]
	}
	if got, err := io.ReadAll(WithRetry(f)); err != nil || !bytes.Equal(got, text) {
		t.Errorf("%q and %v, want %q", got, err, text)
	}
	f.fatal = syscall.ECONNRESET
	if _, err := WithRetry(f).Write(text); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
	if err := WriteAll(f, text, time.Second); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
}

func TestTransient(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{{syscall.EAGAIN, true}, {syscall.EINTR, true}, {syscall.ENOBUFS, true}, {syscall.ENOMEM, true}, {syscall.ECONNRESET, false}, {syscall.EPIPE, false},
		{syscall.ETIMEDOUT, false}, {syscall.EHOSTUNREACH, false}, {io.EOF, false}, {nil, false}} {
		if got := IsTransient(c.err); got != c.want {
			t.Errorf("%v passes: %t, want %t", c.err, got, c.want)
		}
	}
}
