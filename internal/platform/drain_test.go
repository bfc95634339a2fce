package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A gateway is replaced while clients send requests. Open requests are answered, new connections are accepted
// for a while, a SIGHUP does no harm, and the process exits before it may be killed.
func TestStop(t *testing.T) {
	g, _ := startGateway(t)
	got := make(chan string, 2)
	send := func(txn string) {
		status, body := g.request("GET /api", requestFields(txn, "get", "team"))
		got <- fmt.Sprint(status, " ", body)
	}
	go send("open")
	<-g.received
	g.signal(syscall.SIGTERM)
	g.waitUntil("it drains", func() bool { return g.readyStatus() == 503 })
	g.signal(syscall.SIGHUP)
	go send("after")
	<-g.received
	g.responses <- "a"
	g.responses <- "a"
	for range 2 {
		if s := <-got; s != "200 a" {
			t.Errorf("answered %q, want 200 a", s)
		}
	}
	g.expectExit(4 * time.Second)
}

// Two clients have idle connections at SIGTERM. One goes on sending until a response says that its connection
// ends, the other one sends just as the gateway ends it. Nothing that is read after the end may reach a
// server, as its client sends it again elsewhere.
func TestStopCrossesRequests(t *testing.T) {
	g, _ := startGateway(t)
	idle, busy := g.dial(), g.dial()
	for i, c := range []*client{idle, busy} {
		g.responses <- "a"
		if status, last := c.get(fmt.Sprint("first", i)); status != 200 || last {
			t.Fatalf("%d, last %t, want 200 and a connection that stays", status, last)
		}
		<-g.received
	}
	g.signal(syscall.SIGTERM)
	g.waitUntil("it drains", func() bool { return g.readyStatus() == 503 })
	g.responses <- "a"
	if status, last := busy.get("second"); status != 200 || !last {
		t.Errorf("while stopping: %d, last %t, want 200 and the connection's end", status, last)
	}
	<-g.received
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	if status, _ := idle.get("behind"); status != 0 {
		t.Errorf("behind the end: %d, want none", status)
	}
	g.expectExit(10 * time.Second)
	select {
	case txn := <-g.received:
		t.Errorf("%s reached the server behind the shutdown", txn)
	default:
	}
}

// lateWorthText gives a late response worth: requests then stay open for as long as their clients wait.
const lateWorthText = `"LateWorth":1,"Importance":1`

// Servers hang while the gateway is replaced. SIGKILL comes no earlier than the longest deadline, 3 s at
// most, and 0.7 s after SIGTERM. By then each request has to have its response, also where its own deadline
// is later.
func TestAStopAnswersAllBeforeTheKill(t *testing.T) {
	for _, c := range []struct {
		deadlineNs  string
		remainingMs int
		kill        time.Duration
	}{
		{"4000000000", 3900, 3700 * time.Millisecond},
		{"800000000", 800, 1500 * time.Millisecond},
	} {
		t.Run(c.deadlineNs, func(t *testing.T) {
			t.Parallel()
			settings := strings.NewReplacer(`"Importance":1`, lateWorthText,
				"4000000000", c.deadlineNs, "2000000000", c.deadlineNs).Replace(settingsText)
			g, _ := startGatewayWith(t, settings)
			g.neverRespond()
			send := func(txn string) *client {
				cl := g.dial()
				io.WriteString(cl.nc, strings.Replace(postText(txn, "abc"), "3900", fmt.Sprint(c.remainingMs), 1))
				return cl
			}
			clients := []*client{send("before")}
			time.Sleep(50 * time.Millisecond)
			terminated := time.Now()
			g.signal(syscall.SIGTERM)
			for i := range 8 {
				time.Sleep(time.Until(terminated.Add(time.Duration(i) * 80 * time.Millisecond)))
				clients = append(clients, send(fmt.Sprint("t", i)))
			}
			g.holdUp(150*time.Millisecond, func() {})
			got := make(chan map[int]int)
			go func() { got <- countStatuses(clients) }()
			select {
			case count := <-got:
				// Failed; or refused, by the core or as read after the 0.7 s in which requests are taken.
				if count[502]+count[429]+count[503] != len(clients) || count[502] == 0 {
					t.Errorf("answers by status %v, want 502, 429 or 503 for all", count)
				}
			case <-time.After(time.Until(terminated.Add(c.kill))):
				t.Error("not all are answered when the kill may come")
			}
			g.process.Process.Kill()
		})
	}
}

// The process is held up as it stops listening, and connections wait in the kernel's backlog. A close of the
// listener would reset them; they are served or refused.
func TestAStopAnswersTheBacklog(t *testing.T) {
	g, _ := startGateway(t)
	g.respondAtOnce()
	terminated := time.Now()
	g.signal(syscall.SIGTERM)
	time.Sleep(time.Until(terminated.Add(350 * time.Millisecond)))
	var clients []*client
	g.holdUp(500*time.Millisecond, func() {
		for i := range 30 {
			c := g.dial()
			io.WriteString(c.nc, postText(fmt.Sprint("t", i), "abc"))
			clients = append(clients, c)
		}
	})
	if count := countStatuses(clients); count[0] > 0 {
		t.Errorf("answers by status %v, want none closed without one", count)
	}
	g.expectExit(5 * time.Second)
}

// Silent clients, and clients that never finish a request, must not keep the process until the kill.
func TestAStopEndsBesideClientsThatStay(t *testing.T) {
	g, _ := startGateway(t)
	for i := range 10 {
		c := g.dial()
		if i%2 == 0 {
			io.WriteString(c.nc, postText(fmt.Sprint("t", i), "abc")[:50])
		}
	}
	g.signal(syscall.SIGTERM)
	go func() { // connects, and begins a request, for as long as the gateway accepts
		for range 40 {
			if nc, err := net.Dial("tcp", g.listen); err == nil {
				defer nc.Close()
				io.WriteString(nc, "POST /api HTTP/1.1\r\n")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	g.expectExit(3700 * time.Millisecond)
}

// SIGTERM comes at any moment while the process starts. It must end before the kill.
func TestAStopWhileTheProcessStarts(t *testing.T) {
	g, _ := startGateway(t)
	g.kill()
	for _, after := range []time.Duration{0, 2, 5, 10, 20, 40, 80} {
		g.spawn()
		time.Sleep(after * time.Millisecond)
		g.signal(syscall.SIGTERM)
		select {
		case err := <-g.exited:
			// The signal itself ends it before the program's own code runs.
			if err != nil && !wasTerminated(err) {
				t.Errorf("a stop %v ms after the start: %v", int(after), err)
			}
		case <-time.After(3700 * time.Millisecond):
			t.Fatalf("a stop %v ms after the start: the process goes on", int(after))
		}
	}
}

// wasTerminated reports whether SIGTERM itself ended a process.
func wasTerminated(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGTERM
}
