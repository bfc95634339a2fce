package platform

import (
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"winghatch/internal/socket"
)

// failSystemCalls makes every third system call on this process's sockets fail for a moment, with ENOBUFS and
// ENOMEM by turns, and every fifth write short.
func failSystemCalls() {
	var n atomic.Int64
	fail := func() error {
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
		if err := fail(); err != nil {
			return -1, err
		}
		if writes.Add(1)%5 == 0 && len(b) > 1 {
			b = b[:len(b)/2]
		}
		return write(fd, b)
	}
	socket.Read = func(fd int, b []byte) (int, error) {
		if err := fail(); err != nil {
			return -1, err
		}
		return read(fd, b)
	}
	socket.Recv = func(fd int, b []byte, flags int) (int, error) {
		if err := fail(); err != nil {
			return -1, err
		}
		return recv(fd, b, flags)
	}
}

// System calls fail for a moment, for want of buffers or memory. No request may be lost to that: each is
// served, on a connection that stays.
func TestCallsThatFailForAMomentLoseNoRequest(t *testing.T) {
	g, _ := startGateway(t, envFaults+"=1")
	g.respondAtOnce()
	for i := range 4 {
		c := g.dial()
		for j := range 30 {
			txn := fmt.Sprint("t", i, "-", j)
			text := postText(txn, "abc")
			if j%2 == 1 {
				text = "GET /api HTTP/1.1\r\nHost: s\r\n" + requestFields(txn, "get", "team") + "\r\n"
			}
			io.WriteString(c.nc, text)
			if count := countStatuses([]*client{c}); count[200] != 1 {
				t.Fatalf("request %d of connection %d: answers by status %v, want 200", j, i, count)
			}
		}
	}
}

// System calls fail for a moment. A request that cannot be used is still answered, and its connection ends.
func TestCallsThatFailForAMomentHideNoError(t *testing.T) {
	g, _ := startGateway(t, envFaults+"=1")
	for i := range 20 {
		c := g.dial()
		io.WriteString(c.nc, "POST /api HTTP/1.1\r\nHost: s\r\n"+
			"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc")
		if count := countStatuses([]*client{c}); count[400] != 1 {
			t.Fatalf("connection %d: answers by status %v, want 400", i, count)
		}
	}
}

// refuseSystemCalls sets a seccomp filter on this process: the calls that the platform refuses end with
// ENOSYS.
func refuseSystemCalls() error {
	const offNr, offArg = 0, 16 // of struct seccomp_data: the call, its first argument
	load := func(off uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: off}
	}
	jump := func(op uint16, k uint32, yes, no uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | op | unix.BPF_K, Jt: yes, Jf: no, K: k}
	}
	ret := func(k uint32) unix.SockFilter { return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: k} }
	refused := ret(unix.SECCOMP_RET_ERRNO | uint32(unix.ENOSYS))
	f := []unix.SockFilter{load(offNr)}
	for _, nr := range []uint32{unix.SYS_FORK, unix.SYS_VFORK, unix.SYS_CLONE3, unix.SYS_EXECVE,
		unix.SYS_IO_URING_SETUP, unix.SYS_SPLICE, unix.SYS_SENDFILE} {
		f = append(f, jump(unix.BPF_JEQ, nr, 0, 1), refused)
	}
	// A clone that makes no thread is a fork.
	f = append(f,
		jump(unix.BPF_JEQ, unix.SYS_CLONE, 0, 3),
		load(offArg),
		jump(unix.BPF_JSET, unix.CLONE_THREAD, 1, 0),
		refused,
		ret(unix.SECCOMP_RET_ALLOW))
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	p := unix.SockFprog{Len: uint16(len(f)), Filter: &f[0]}
	const tsync = 1 // for all threads
	_, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, tsync, uintptr(unsafe.Pointer(&p)))
	if errno != 0 {
		return fmt.Errorf("seccomp: %w", errno)
	}
	if _, _, errno := unix.Syscall(unix.SYS_FORK, 0, 0, 0); errno != unix.ENOSYS {
		return fmt.Errorf("fork is not refused: %v", errno)
	}
	return nil
}

// The platform refuses fork, exec, io_uring, splice and sendfile. The gateway has to serve without, through a
// reload and a stop.
func TestServesWhereCallsAreRefused(t *testing.T) {
	g, queries := startGateway(t, envRefuse+"=1")
	g.responses <- "hello"
	if status, body := g.request("GET /api", requestFields("t1", "get", "team")); status != 200 || body != "hello" {
		t.Errorf("%d %q, want 200", status, body)
	}
	g.writeConfig(startDiscovery(t, g.serverAddr, queries))
	g.signal(syscall.SIGHUP)
	g.waitUntil("the list is followed elsewhere", func() bool {
		return g.logContains("Following another discovery address")
	})
	g.signal(syscall.SIGTERM)
	g.expectExit(10 * time.Second)
}
