package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// hold stops the process, runs f, and lets the process go on no sooner than so long after.
func (w *world) hold(at least, f func()) {
	w.t.Helper()
	w.proc.Process.Signal(syscall.SIGSTOP)
	w.until("it stands still", func() bool {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.proc.Process.Pid))
		text := string(raw)
		rest := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
		return len(rest) > 0 && rest[0] == "T"
	})
	began := time.Now()
	f()
	time.Sleep(time.Duration(at) - time.Since(began))
	w.proc.Process.Signal(syscall.SIGCONT)
}

// least is how long a process is held up.
type least time.Duration

// post is a request of the class that must not run twice, with a body.
func post(txn, body string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n%s\r\n%s", len(body), fields(txn, "pay", "team"), body)
}

// answered reads one answer on each connection and counts their statuses; 0 stands for an end without one.
func answered(clients []*client) map[int]int {
	count := map[int]int{}
	for _, c := range clients {
		status := 0
		if res, err := http.ReadResponse(c.r, nil); err == nil {
			if _, err := io.Copy(io.Discard, res.Body); err == nil {
				status = res.StatusCode
			}
		}
		count[status]++
	}
	return count
}

// answers makes the server answer at once.
func (w *world) answers() {
	w.hangs()
	go func() {
		for {
			select {
			case w.answer <- "a":
			case <-w.t.Context().Done():
				return
			}
		}
	}()
}

// hangs makes the server take requests and never answer.
func (w *world) hangs() {
	go func() {
		for {
			select {
			case <-w.hits:
			case <-w.t.Context().Done():
				return
			}
		}
	}()
}

// A request whose last byte is in the socket is answered, also where the process is held up as its time to be read ends.
func TestARequestThatIsWholeAsItsTimeEndsIsAnswered(t *testing.T) {
	w, _ := run(t)
	w.answers()
	var clients []*client
	began := time.Now()
	for i := range 40 {
		c := w.dial()
		text := post(fmt.Sprint("t", i), "abc")
		io.WriteString(c.nc, text[:len(text)-1])
		clients = append(clients, c)
	}
	time.Sleep(time.Until(began.Add(1880 * time.Millisecond)))
	w.hold(least(300*time.Millisecond), func() {
		for _, c := range clients {
			io.WriteString(c.nc, "c")
		}
	})
	if count := answered(clients); count[0] > 0 {
		t.Errorf("answers by status %v, want none closed without one", count)
	}
}

// A client that stops in the middle of its request is told so, and is not just closed: its last byte may be on the way.
func TestARequestThatIsNeverWholeIsAnswered(t *testing.T) {
	w, _ := run(t)
	var clients []*client
	for i := range 5 {
		c := w.dial()
		text := post(fmt.Sprint("t", i), "abc")
		io.WriteString(c.nc, text[:len(text)-1])
		clients = append(clients, c)
	}
	began := time.Now()
	if count := answered(clients); count[408] != len(clients) {
		t.Errorf("answers by status %v, want 408 for all", count)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("told after %v, want 3 s at most", took)
	}
}

// Silent connections that come in the moment in which requests become whole take no seat from those.
func TestSilentConnectionsTakeNoSeatFromARequest(t *testing.T) {
	w, _ := run(t)
	w.answers()
	var clients []*client
	for i := range 20 {
		c := w.dial()
		text := post(fmt.Sprint("t", i), "abc")
		io.WriteString(c.nc, text[:40])
		clients = append(clients, c)
	}
	w.hold(least(70*time.Millisecond), func() {
		for i, c := range clients {
			io.WriteString(c.nc, post(fmt.Sprint("t", i), "abc")[40:])
		}
		for range 120 {
			if nc, err := net.Dial("tcp", w.listen); err == nil {
				t.Cleanup(func() { nc.Close() })
			}
		}
	})
	// The module may refuse some of what comes at once: 429. None is turned away for a silent connection.
	if count := answered(clients); count[200]+count[429] != len(clients) || count[200] == 0 {
		t.Errorf("answers by status %v, want 200 or 429 for all", count)
	}
}

// A client that sends many requests at once on a connection gets an answer to each, in their order.
func TestManyRequestsAtOnceAreAllAnswered(t *testing.T) {
	const requests = 300
	w, _ := run(t)
	w.answers()
	c := w.dial()
	go func() {
		for i := range requests {
			io.WriteString(c.nc, post(fmt.Sprint("t", i), "abc"))
		}
	}()
	for i := range requests {
		if count := answered([]*client{c}); count[200]+count[429] != 1 {
			t.Fatalf("request %d of %d: answers by status %v, want 200 or 429", i, requests, count)
		}
	}
}
