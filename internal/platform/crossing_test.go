package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// client is a connection that stays.
type client struct {
	t  *testing.T
	nc net.Conn
	r  *bufio.Reader
}

func (w *world) dial() *client {
	w.t.Helper()
	nc, err := net.Dial("tcp", w.listen)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(30 * time.Second))
	return &client{w.t, nc, bufio.NewReader(nc)}
}

// ask returns the status of an answer and whether the connection ends with it; 0: it ended before.
func (c *client) ask(txn string) (status int, last bool) {
	fmt.Fprintf(c.nc, "GET /api HTTP/1.1\r\nHost: s\r\n%s\r\n", fields(txn, "get", "team"))
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, true
	}
	io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Close
}

// SIGTERM with connections at rest: one goes on asking until an answer says that it ends, one rests until the gateway ends
// it and asks in that moment. Nothing that was read behind the end reaches a server, and the process ends by itself.
func TestStopCrossesRequests(t *testing.T) {
	w, _ := run(t)
	rests, asks := w.dial(), w.dial()
	for i, c := range []*client{rests, asks} {
		w.answer <- "a"
		if status, last := c.ask(fmt.Sprint("first", i)); status != 200 || last {
			t.Fatalf("%d, last %t, want 200 and a connection that stays", status, last)
		}
		<-w.hits
	}
	w.proc.Process.Signal(syscall.SIGTERM)
	w.until("it stops", func() bool { status, _ := w.ask("GET /health/ready", ""); return status == 503 })
	w.answer <- "a"
	if status, last := asks.ask("second"); status != 200 || !last {
		t.Errorf("while stopping: %d, last %t, want 200 and the connection's end", status, last)
	}
	<-w.hits
	if _, err := rests.r.ReadByte(); err != io.EOF {
		t.Errorf("one that rests: %v, want its end", err)
	}
	if status, _ := rests.ask("behind"); status != 0 {
		t.Errorf("behind the end: %d, want none", status)
	}
	w.end(10 * time.Second)
	select {
	case txn := <-w.hits:
		t.Errorf("%s reached the server behind the shutdown", txn)
	default:
	}
}

// A process killed with a request half read leaves its address to a successor, which serves.
func TestKillAndSuccessor(t *testing.T) {
	w, _ := run(t)
	half := w.dial()
	io.WriteString(half.nc, "GET /api HTTP/1.1\r\nHost: s\r\n")
	w.proc.Process.Kill()
	if err := <-w.ended; err == nil {
		t.Error("a killed process ended with 0")
	}
	w.start()
	w.answer <- "a"
	if status, _ := w.dial().ask("t1"); status != 200 {
		t.Errorf("the successor: %d, want 200", status)
	}
}

// Idle clients take every descriptor that is theirs while discovery moves: the watch, servers and the platform's question
// get theirs all the same, and the process stays within its limit.
func TestDescriptorsLeaveRoom(t *testing.T) {
	w, _ := run(t)
	const sockets = 256 // as the test's configuration says
	var idle []*client
	for range 400 {
		nc, err := net.Dial("tcp", w.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		idle = append(idle, &client{t, nc, nil})
		if d, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.proc.Process.Pid)); err != nil || len(d) > sockets {
			t.Fatalf("%d descriptors, %v, want %d at most", len(d), err, sockets)
		}
	}
	told := make(chan string, 1000)
	w.config(agent(t, w.addr, told))
	w.proc.Process.Signal(syscall.SIGHUP)
	select {
	case <-told:
	case <-time.After(20 * time.Second):
		t.Fatal("the new list is not asked")
	}
	if status, _ := w.ask("GET /health/ready", ""); status != 200 {
		t.Errorf("ready: %d, want 200", status)
	}
	w.answer <- "a"
	if status, _ := w.dial().ask("t1"); status != 200 {
		t.Errorf("a usual client: %d, want 200", status)
	}
}

// The platform refuses a process to start others, io_uring, splice and sendfile. The gateway serves without, through a
// reload and a stop.
func TestServesWhereCallsAreRefused(t *testing.T) {
	w, told := run(t, "PLATFORM_TEST_REFUSE=1")
	w.answer <- "hello"
	if status, body := w.ask("GET /api", fields("t1", "get", "team")); status != 200 || body != "hello" {
		t.Errorf("%d %q, want 200", status, body)
	}
	w.config(agent(t, w.addr, told))
	w.proc.Process.Signal(syscall.SIGHUP)
	w.until("the list moves", func() bool { return w.logged("Following another discovery address") })
	w.proc.Process.Signal(syscall.SIGTERM)
	w.end(10 * time.Second)
}

// refuseCalls sets a filter of this process's system calls: those that the platform refuses end with ENOSYS.
func refuseCalls() error {
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
	for _, nr := range []uint32{unix.SYS_FORK, unix.SYS_VFORK, unix.SYS_CLONE3, unix.SYS_EXECVE, unix.SYS_IO_URING_SETUP, unix.SYS_SPLICE, unix.SYS_SENDFILE} {
		f = append(f, jump(unix.BPF_JEQ, nr, 0, 1), refused)
	}
	// A clone that makes no thread is a fork.
	f = append(f, jump(unix.BPF_JEQ, unix.SYS_CLONE, 0, 3), load(offArg), jump(unix.BPF_JSET, unix.CLONE_THREAD, 1, 0), refused,
		ret(unix.SECCOMP_RET_ALLOW))
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	p := unix.SockFprog{Len: uint16(len(f)), Filter: &f[0]}
	const tsync = 1 // for all threads
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, tsync, uintptr(unsafe.Pointer(&p))); errno != 0 {
		return fmt.Errorf("seccomp: %w", errno)
	}
	if _, _, errno := unix.Syscall(unix.SYS_FORK, 0, 0, 0); errno != unix.ENOSYS {
		return fmt.Errorf("fork is not refused: %v", errno)
	}
	return nil
}

// A restarted process is ready within ten seconds though discovery is down, and serves by the list that it held last.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	for _, discovery := range []string{"127.0.0.1:1", silent(t)} { // refuses; takes calls and holds still
		m := &moody{hits: map[string][]hit{}, mood: func(string, int) string { return "fine" }}
		servers, _, stop := m.serve(t)
		defer stop()
		known, err := json.Marshal(map[string]any{"rev": 1, "all": true, "targets": servers})
		if err != nil {
			t.Fatal(err)
		}
		c, err := parse([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"limits":{"cores":1,"memory_mb":64,"sockets":128},"known":%s,"settings":%s}`,
			discovery, known, settingsText)))
		if err != nil {
			t.Fatal(err)
		}
		g, err := Start(c, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		defer g.Stop()
		for began := time.Now(); !g.Ready(); time.Sleep(5 * time.Millisecond) {
			if time.Since(began) > 10*time.Second {
				t.Fatalf("discovery at %s: not ready within 10 s", discovery)
			}
		}
		nc, err := net.Dial("tcp", g.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		if status, _ := (&client{t, nc, bufio.NewReader(nc)}).ask("t1"); status != 200 {
			t.Errorf("discovery at %s: %d, want 200", discovery, status)
		}
	}
}

// silent is an address that takes connections and never answers.
func silent(t *testing.T) string {
	ln := listener(t)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
		}
	}()
	return ln.Addr().String()
}
