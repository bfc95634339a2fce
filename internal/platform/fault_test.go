package platform

import (
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"winghatch/internal/socket"
)

// failCalls makes every third system call on this process's sockets fail for a moment, by turns for want of buffers and of
// memory, and every fifth write short.
func failCalls() {
	var n atomic.Int64
	fails := func() error {
		switch n.Add(1) % 6 {
		case 0:
			return syscall.ENOBUFS
		case 3:
			return syscall.ENOMEM
		}
		return nil
	}
	write, read, recv := socket.Write, socket.Read, socket.Recv
	var writes atomic.Int64
	socket.Write = func(fd int, b []byte) (int, error) {
		if err := fails(); err != nil {
			return -1, err
		}
		if writes.Add(1)%5 == 0 && len(b) > 1 {
			b = b[:len(b)/2]
		}
		return write(fd, b)
	}
	socket.Read = func(fd int, b []byte) (int, error) {
		if err := fails(); err != nil {
			return -1, err
		}
		return read(fd, b)
	}
	socket.Recv = func(fd int, b []byte, flags int) (int, error) {
		if err := fails(); err != nil {
			return -1, err
		}
		return recv(fd, b, flags)
	}
}

// System calls that fail for a moment lose no request: each is served, by a server's answer, on a connection that stays.
func TestCallsThatFailForAMomentLoseNoRequest(t *testing.T) {
	w, _ := run(t, "PLATFORM_TEST_FAULTS=1")
	w.answers()
	for i := range 4 {
		c := w.dial()
		for j := range 30 {
			if j%2 == 0 {
				io.WriteString(c.nc, post(fmt.Sprint("t", i, "-", j), "abc"))
			} else {
				fmt.Fprintf(c.nc, "GET /api HTTP/1.1\r\nHost: s\r\n%s\r\n", fields(fmt.Sprint("t", i, "-", j), "get", "team"))
			}
			if count := answered([]*client{c}); count[200] != 1 {
				t.Fatalf("request %d of connection %d: answers by status %v, want 200", j, i, count)
			}
		}
	}
}

// What can't be used is told so, and silent connections end, where calls fail for a moment too.
func TestCallsThatFailForAMomentHideNoError(t *testing.T) {
	w, _ := run(t, "PLATFORM_TEST_FAULTS=1")
	for i := range 20 {
		c := w.dial()
		io.WriteString(c.nc, "POST /api HTTP/1.1\r\nHost: s\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc")
		if count := answered([]*client{c}); count[400] != 1 {
			t.Fatalf("connection %d: answers by status %v, want 400", i, count)
		}
	}
}

// While no descriptor is to be had, accept, socket and connect fail; what clients have sent meanwhile is answered once there
// are some again, and the list is followed.
func TestNoDescriptorsForAMoment(t *testing.T) {
	w, _ := run(t, "PLATFORM_TEST_DESCRIPTORS=40")
	w.answers()
	var silent, clients []*client
	for range 40 { // more than the process can hold
		silent = append(silent, w.dial())
	}
	for i := range 5 {
		c := w.dial()
		io.WriteString(c.nc, post(fmt.Sprint("t", i), "abc"))
		clients = append(clients, c)
	}
	told := make(chan string, 1000)
	w.config(agent(t, w.addr, told))
	w.proc.Process.Signal(syscall.SIGHUP)
	w.until("accept fails", func() bool { return w.logged("too many open files") })
	if count := answered(clients); count[0] > 0 {
		t.Errorf("answers by status %v, want none closed without one", count)
	}
	select {
	case <-told:
	case <-time.After(5 * time.Second):
		t.Error("the new list is not asked")
	}
	answered(silent[:1])
	c := w.dial()
	io.WriteString(c.nc, post("last", "abc"))
	if count := answered([]*client{c}); count[200] != 1 {
		t.Errorf("then: answers by status %v, want 200", count)
	}
}

// A process whose log is read no more goes on, whether its reader is gone or holds still.
func TestALogThatNobodyReads(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprint("gone ", gone), func(t *testing.T) { logUnread(t, gone) })
	}
}

func logUnread(t *testing.T, gone bool) {
	w, told := run(t)
	w.proc.Process.Kill()
	<-w.ended
	log, unread, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	w.log = unread
	if !gone { // the pipe is full
		unread.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		for err == nil {
			_, err = unread.Write(make([]byte, 4<<10))
		}
		defer log.Close()
	}
	w.start()
	if gone {
		log.Close()
	}
	for range 3 {
		w.config("127.0.0.1:1") // each is told of in the log
		w.proc.Process.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
		w.config(agent(t, w.addr, told))
		w.proc.Process.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	w.answer <- "a"
	if status, _ := w.dial().ask("t1"); status != 200 {
		t.Errorf("%d, want 200", status)
	}
	w.proc.Process.Signal(syscall.SIGTERM)
	w.end(5 * time.Second)
}
