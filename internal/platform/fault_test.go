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

// failSystemCalls makes every third system call on the sockets of this process fail, alternately with ENOBUFS
// and ENOMEM, and makes every fifth write short.
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

// Guards against requests that are lost when system calls fail temporarily for lack of buffers or memory.
// Each request must be served, and its connection must stay open.
func TestTransientSystemCallErrorsLoseNoRequest(t *testing.T) {
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
				t.Fatalf("request %d of connection %d: responses by status %v, want 200", j, i, count)
			}
		}
	}
}

// Guards against lost error responses when system calls fail temporarily. An invalid request must still get
// its response, and its connection must end.
func TestTransientSystemCallErrorsKeepErrorResponse(t *testing.T) {
	g, _ := startGateway(t, envFaults+"=1")
	for i := range 20 {
		c := g.dial()
		io.WriteString(c.nc, "POST /api HTTP/1.1\r\nHost: s\r\n"+
			"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc")
		if count := countStatuses([]*client{c}); count[400] != 1 {
			t.Fatalf("connection %d: responses by status %v, want 400", i, count)
		}
	}
}

// refuseSystemCalls installs a seccomp filter in this process. The system calls that the platform refuses
// then fail with ENOSYS.
func refuseSystemCalls() error {
	// Offsets in struct seccomp_data of the system call number and the first argument.
	const numberOffset, argOffset = 0, 16
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	jump := func(op uint16, k uint32, yes, no uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | op | unix.BPF_K, Jt: yes, Jf: no, K: k}
	}
	ret := func(k uint32) unix.SockFilter { return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: k} }
	refused := ret(unix.SECCOMP_RET_ERRNO | uint32(unix.ENOSYS))
	filter := []unix.SockFilter{load(numberOffset)}
	refusedNumbers := append([]uint32{unix.SYS_CLONE3, unix.SYS_EXECVE, unix.SYS_IO_URING_SETUP,
		unix.SYS_SPLICE, unix.SYS_SENDFILE}, forkNumbers...)
	for _, number := range refusedNumbers {
		filter = append(filter, jump(unix.BPF_JEQ, number, 0, 1), refused)
	}
	// clone without CLONE_THREAD is a fork.
	filter = append(filter,
		jump(unix.BPF_JEQ, unix.SYS_CLONE, 0, 3),
		load(argOffset),
		jump(unix.BPF_JSET, unix.CLONE_THREAD, 1, 0),
		refused,
		ret(unix.SECCOMP_RET_ALLOW))
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	const tsync = 1 // SECCOMP_FILTER_FLAG_TSYNC applies the filter to all threads
	_, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, tsync,
		uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return fmt.Errorf("install seccomp filter: %w", errno)
	}
	for _, number := range append([]uint32{unix.SYS_CLONE3}, forkNumbers...) {
		if _, _, errno := unix.Syscall(uintptr(number), 0, 0, 0); errno != unix.ENOSYS {
			return fmt.Errorf("system call %d returned %v, want ENOSYS", number, errno)
		}
	}
	return nil
}

// Guards against dependencies on system calls that the platform refuses: fork, exec, io_uring, splice and
// sendfile. The gateway must serve, reload and stop without them.
func TestServesWithRefusedSystemCalls(t *testing.T) {
	g, queries := startGateway(t, envRefuse+"=1")
	g.responses <- "hello"
	if status, body := g.request("GET /api", requestFields("t1", "get", "team")); status != 200 ||
		body != "hello" {
		t.Errorf("got status %d and body %q, want 200 and hello", status, body)
	}
	g.writeConfig(startDiscovery(t, g.serverAddr, queries))
	g.signal(syscall.SIGHUP)
	g.waitUntil("the new discovery address is logged", func() bool {
		return g.logContains("Discovery address updated")
	})
	g.signal(syscall.SIGTERM)
	g.expectExit(10 * time.Second)
}
