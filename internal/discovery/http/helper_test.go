package http

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"winghatch/internal/testbed/tcpserver"
)

// startDiscovery starts a discovery server that responds to each call with the next step of its script (see
// serveScript) and not at all after the last one. It sends the request target of each call to paths. It
// returns the address of the server.
func startDiscovery(t *testing.T, paths chan<- string, script ...string) string {
	t.Helper()
	steps := make(chan string, len(script))
	for _, step := range script {
		steps <- step
	}
	return tcpserver.Start(t, func(nc net.Conn) { serveScript(nc, steps, paths) })
}

// serveScript responds to each call on a connection with the next step. A step is a list, a list after a kind
// of transfer, such as "chunked LIST", or a failure: "silence", "reset" or "hang up".
func serveScript(nc net.Conn, steps <-chan string, paths chan<- string) {
	r := bufio.NewReader(nc)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		select {
		case paths <- q.URL.String():
		default:
		}
		step := "silence"
		select {
		case step = <-steps:
		default:
		}
		if !serveStep(nc, r, step) {
			return
		}
	}
}

// serveStep executes one step. It returns false if the connection is to be closed.
func serveStep(nc net.Conn, r *bufio.Reader, step string) bool {
	kind, text := cutKind(step)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(text))
	switch {
	case step == "silence":
		r.Peek(1) // waits until the client closes the connection
		return false
	case step == "reset":
		nc.(*net.TCPConn).SetLinger(0)
		return false
	case step == "hang up":
		return false
	case kind == "chunked":
		head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		fmt.Fprintf(nc, "%s%x\r\n%s\r\n0\r\n\r\n", head, len(text), text)
	case kind == "pieces":
		for _, b := range []byte(head + "\r\n" + text) {
			nc.Write([]byte{b})
		}
	case kind == "last":
		fmt.Fprint(nc, head+"Connection: close\r\n\r\n"+text)
		return false
	default:
		fmt.Fprint(nc, head+"\r\n"+text)
	}
	return true
}

// cutKind splits a step into the kind of transfer, which may be empty, and the rest.
func cutKind(step string) (kind, text string) {
	for _, kind := range []string{"chunked", "pieces", "last"} {
		if text, ok := strings.CutPrefix(step, kind+" "); ok {
			return kind, text
		}
	}
	return "", step
}

// targetJSON returns a target as discovery sends it.
func targetJSON(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":1,"state":%q,`+
		`"capacity_hint":1,"boot_ms":0}`, uid, state)
}

// listJSON returns a list as discovery sends it.
func listJSON(rev int, full bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, rev, full, strings.Join(targets, ","))
}

// watchHarness runs a Watch and records its lists and the request targets of its calls.
type watchHarness struct {
	watch *Watch
	lists chan *List
	paths chan string
}

func newWatchHarness() *watchHarness {
	return &watchHarness{lists: make(chan *List, 100), paths: make(chan string, 10000)}
}

// startWatch starts a watch of a discovery server with a script.
func startWatch(t *testing.T, o Options, script ...string) *watchHarness {
	t.Helper()
	w := newWatchHarness()
	w.run(t, startDiscovery(t, w.paths, script...), o)
	return w
}

// run runs a watch of discovery at an address until the test ends.
func (w *watchHarness) run(t *testing.T, addr string, o Options) {
	t.Helper()
	o.OnList = func(l *List, _ time.Duration) { w.lists <- l }
	o.Log = slog.New(slog.DiscardHandler)
	o.RetryBackoff = time.Millisecond
	w.watch = New(addr, o)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		w.watch.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// awaitRev receives lists until one has the given version.
func (w *watchHarness) awaitRev(t *testing.T, rev uint64) {
	t.Helper()
	for {
		if receive(t, w.lists).Rev == rev {
			return
		}
	}
}

// receive returns the next value from a channel and fails the test after 10 s.
func receive[T any](t *testing.T, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was received within 10 s")
	}
	return v
}
