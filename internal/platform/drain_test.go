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

// Guards against requests that are lost when a gateway is replaced while clients send requests. After
// SIGTERM, open requests must be answered, new connections must be accepted for a while, a SIGHUP must have
// no effect, and the process must exit before it may be killed.
func TestGracefulShutdown(t *testing.T) {
	g, _ := startGateway(t)
	results := make(chan string, 2)
	send := func(txn string) {
		status, body := g.request("GET /api", requestFields(txn, "get", "team"))
		results <- fmt.Sprint(status, " ", body)
	}
	go send("open")
	<-g.received
	g.signal(syscall.SIGTERM)
	g.waitUntil("the gateway drains", func() bool { return g.readyStatus() == 503 })
	g.signal(syscall.SIGHUP)
	go send("after")
	<-g.received
	g.responses <- "a"
	g.responses <- "a"
	for range 2 {
		if result := <-results; result != "200 a" {
			t.Errorf("got status and body %q, want 200 a", result)
		}
	}
	g.expectExit(4 * time.Second)
}

// Guards against requests that run twice. Two clients have idle connections at SIGTERM. One sends requests
// until a response announces the end of its connection. The other one sends a request just as the gateway
// ends its connection, and will send it again elsewhere. That request must not reach a server.
func TestShutdownWithIdleConnections(t *testing.T) {
	g, _ := startGateway(t)
	idle, busy := g.dial(), g.dial()
	for i, c := range []*client{idle, busy} {
		g.responses <- "a"
		if status, last := c.get(fmt.Sprint("first", i)); status != 200 || last {
			t.Fatalf("first request: got status %d, connection ends %t, want 200 and false", status, last)
		}
		<-g.received
	}
	g.signal(syscall.SIGTERM)
	g.waitUntil("the gateway drains", func() bool { return g.readyStatus() == 503 })
	g.responses <- "a"
	if status, last := busy.get("second"); status != 200 || !last {
		t.Errorf("while draining: got status %d, connection ends %t, want 200 and true", status, last)
	}
	<-g.received
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("read from the idle connection: got error %v, want EOF", err)
	}
	if status, _ := idle.get("behind"); status != 0 {
		t.Errorf("request after the end of the connection: got status %d, want no response", status)
	}
	g.expectExit(10 * time.Second)
	select {
	case txn := <-g.received:
		t.Errorf("request %s reached the server after the end of its connection", txn)
	default:
	}
}

// lateWorthText gives late responses a value. Requests then stay open until their clients' deadlines.
const lateWorthText = `"LateWorth":1,"Importance":1`

// Guards against requests that lose their response to SIGKILL. Servers hang while the gateway is replaced.
// The earliest SIGKILL is the longest deadline, but at most 3 s, plus 0.7 s after SIGTERM. By then each
// request must have its response, even if its own deadline is later.
func TestShutdownAnswersAllRequestsBeforeKill(t *testing.T) {
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
				io.WriteString(cl.nc,
					strings.Replace(postText(txn, "abc"), "3900", fmt.Sprint(c.remainingMs), 1))
				return cl
			}
			clients := []*client{send("before")}
			time.Sleep(50 * time.Millisecond)
			terminatedAt := time.Now()
			g.signal(syscall.SIGTERM)
			for i := range 8 {
				time.Sleep(time.Until(terminatedAt.Add(time.Duration(i) * 80 * time.Millisecond)))
				clients = append(clients, send(fmt.Sprint("t", i)))
			}
			g.suspend(150*time.Millisecond, func() {})
			counts := make(chan map[int]int)
			go func() { counts <- countStatuses(clients) }()
			select {
			case count := <-counts:
				// A request fails with 502, or is rejected with 429 by the core, or with 503 if it is read
				// after the 0.7 s in which requests are accepted.
				if count[502]+count[429]+count[503] != len(clients) || count[502] == 0 {
					t.Errorf("responses by status %v, want only 502, 429 and 503 and a 502", count)
				}
			case <-time.After(time.Until(terminatedAt.Add(c.kill))):
				t.Error("not all requests were answered before the earliest SIGKILL")
			}
			g.process.Process.Kill()
		})
	}
}

// Guards against reset connections. The process is suspended just before it stops listening, and connections
// wait in the kernel's backlog. Closing the listener would reset them, but each must get a response.
func TestShutdownServesBacklog(t *testing.T) {
	g, _ := startGateway(t)
	g.respondAtOnce()
	terminatedAt := time.Now()
	g.signal(syscall.SIGTERM)
	time.Sleep(time.Until(terminatedAt.Add(350 * time.Millisecond)))
	var clients []*client
	g.suspend(500*time.Millisecond, func() {
		for i := range 30 {
			c := g.dial()
			io.WriteString(c.nc, postText(fmt.Sprint("t", i), "abc"))
			clients = append(clients, c)
		}
	})
	if count := countStatuses(clients); count[0] > 0 {
		t.Errorf("responses by status %v, want no connection without a response (status 0)", count)
	}
	g.expectExit(5 * time.Second)
}

// Guards against a shutdown that lasts until SIGKILL because clients are silent or never complete a request.
func TestShutdownEndsWithIncompleteRequests(t *testing.T) {
	g, _ := startGateway(t)
	for i := range 10 {
		c := g.dial()
		if i%2 == 0 {
			io.WriteString(c.nc, postText(fmt.Sprint("t", i), "abc")[:50])
		}
	}
	g.signal(syscall.SIGTERM)
	go func() { // opens connections with incomplete requests while the gateway accepts
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

// Guards against a SIGTERM that is lost because it arrives while the process starts. The process must exit
// before the earliest SIGKILL.
func TestSIGTERMDuringStart(t *testing.T) {
	g, _ := startGateway(t)
	g.kill()
	for _, after := range []time.Duration{0, 2, 5, 10, 20, 40, 80} {
		g.spawn()
		time.Sleep(after * time.Millisecond)
		g.signal(syscall.SIGTERM)
		select {
		case err := <-g.exited:
			// Before the program's own code runs, the signal itself ends the process.
			if err != nil && !wasTerminated(err) {
				t.Errorf("SIGTERM %v ms after the start: the process ended with %v", int(after), err)
			}
		case <-time.After(3700 * time.Millisecond):
			t.Fatalf("SIGTERM %v ms after the start: the process still runs after 3.7 s", int(after))
		}
	}
}

// wasTerminated reports whether err is from a process that was killed by SIGTERM.
func wasTerminated(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGTERM
}
