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

// startAgent runs a discovery that answers each call by the next step of its script (see playScript), and is silent
// after the last. It sends the path of each call to paths.
func startAgent(t *testing.T, paths chan<- string, script ...string) string {
	t.Helper()
	steps := make(chan string, len(script))
	for _, step := range script {
		steps <- step
	}
	return tcpserver.Start(t, func(nc net.Conn) { playScript(nc, steps, paths) })
}

// playScript answers the calls on a connection by the next steps. A step is a list; a list with a kind of transfer
// before it, as in "chunked LIST"; or a failure: "silence", "reset" or "hang up".
func playScript(nc net.Conn, steps <-chan string, paths chan<- string) {
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
		if !playStep(nc, r, step) {
			return
		}
	}
}

// playStep plays one step; false ends the connection.
func playStep(nc net.Conn, r *bufio.Reader, step string) bool {
	kind, text := cutKind(step)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(text))
	switch {
	case step == "silence":
		r.Peek(1) // until the other side gives up
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

// cutKind cuts the kind of transfer off a step.
func cutKind(step string) (kind, text string) {
	for _, kind := range []string{"chunked", "pieces", "last"} {
		if text, ok := strings.CutPrefix(step, kind+" "); ok {
			return kind, text
		}
	}
	return "", step
}

// targetJSON and listJSON are as discovery sends them.
func targetJSON(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":1,"state":%q,`+
		`"capacity_hint":1,"boot_ms":0}`, uid, state)
}

func listJSON(rev int, full bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, rev, full, strings.Join(targets, ","))
}

// watched is a running watch, the lists that it took and the paths that it asked for.
type watched struct {
	watch *Watch
	lists chan *List
	paths chan string
}

func newWatched() *watched {
	return &watched{lists: make(chan *List, 100), paths: make(chan string, 10000)}
}

// startWatch watches an agent with a script.
func startWatch(t *testing.T, o Options, script ...string) *watched {
	t.Helper()
	w := newWatched()
	w.run(t, startAgent(t, w.paths, script...), o)
	return w
}

// run watches an address until the test ends.
func (w *watched) run(t *testing.T, addr string, o Options) {
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

// awaitRev takes lists until one of a version.
func (w *watched) awaitRev(t *testing.T, rev uint64) {
	t.Helper()
	for {
		if receive(t, w.lists).Rev == rev {
			return
		}
	}
}

func receive[T any](t *testing.T, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came within 10 s")
	}
	return v
}
