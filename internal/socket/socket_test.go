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

// flakyConn fails every other call for a moment, and reads and writes up to three bytes at once.
type flakyConn struct {
	net.Conn
	calls int
	data  bytes.Buffer
	fatal error // of the calls that do not fail for a moment
}

func (c *flakyConn) fail() error {
	passing := []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR}
	c.calls++
	if c.calls%2 == 1 {
		return &net.OpError{Op: "write", Err: os.NewSyscallError("write", passing[c.calls/2%3])}
	}
	return c.fatal
}

func (c *flakyConn) Write(b []byte) (int, error) {
	if err := c.fail(); err != nil {
		return 0, err
	}
	return c.data.Write(b[:min(3, len(b))])
}

func (c *flakyConn) Read(b []byte) (int, error) {
	if err := c.fail(); err != nil {
		return 0, err
	}
	return c.data.Read(b[:min(3, len(b))])
}

func (c *flakyConn) SetWriteDeadline(time.Time) error { return nil }

// The kernel was out of buffers for a moment, and connections were ended for it. Such calls are retried, nothing is
// read or written twice, and any other error still ends the connection.
func TestPatient(t *testing.T) {
	c := &flakyConn{}
	text := []byte("a text that is written in many steps")
	for rest := text; len(rest) > 0; {
		n, err := WithRetry(c).Write(rest[:min(3, len(rest))])
		if err != nil {
			t.Fatal(err)
		}
		rest = rest[n:]
	}
	if got, err := io.ReadAll(WithRetry(c)); err != nil || !bytes.Equal(got, text) {
		t.Errorf("%q and %v, want %q", got, err, text)
	}
	c.fatal = syscall.ECONNRESET
	if _, err := WithRetry(c).Write(text); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
	if err := WriteAll(c, text, time.Second); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
}

func TestTransient(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{syscall.EAGAIN, true},
		{syscall.EINTR, true},
		{syscall.ENOBUFS, true},
		{syscall.ENOMEM, true},
		{syscall.ECONNRESET, false},
		{syscall.EPIPE, false},
		{syscall.ETIMEDOUT, false},
		{syscall.EHOSTUNREACH, false},
		{io.EOF, false},
		{nil, false},
	} {
		if got := IsTransient(c.err); got != c.want {
			t.Errorf("%v is transient: %t, want %t", c.err, got, c.want)
		}
	}
}
