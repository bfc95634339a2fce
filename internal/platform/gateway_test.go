package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"
)

// What clients get from a gateway: a server's response, a refusal beyond the quota, an error for an unknown
// class.
func TestAGatewayOfThePlatform(t *testing.T) {
	g, _ := startGateway(t)
	g.responses <- "hello"
	if status, body := g.request("GET /api", requestFields("t1", "get", "team")); status != 200 || body != "hello" {
		t.Errorf("%d %q, want 200 and the server's body", status, body)
	}
	if txn := <-g.received; txn != "t1" {
		t.Errorf("the server got %q, want t1", txn)
	}
	for range 3 { // beyond its quota from the second on
		if status, _ := g.request("GET /api", requestFields("t2", "get", "small")); status == 200 {
			g.responses <- "x"
		}
	}
	if status, _ := g.request("GET /api", requestFields("t3", "get", "small")); status != 429 {
		t.Errorf("beyond its quota: %d, want 429", status)
	}
	if status, _ := g.request("GET /api", requestFields("t4", "none", "team")); status != 400 {
		t.Errorf("an unknown class: %d, want 400", status)
	}
}

// A process is killed with a request half read. Its successor gets the address and serves.
func TestKillAndSuccessor(t *testing.T) {
	g, _ := startGateway(t)
	half := g.dial()
	io.WriteString(half.nc, "GET /api HTTP/1.1\r\nHost: s\r\n")
	if err := g.kill(); err == nil {
		t.Error("a killed process ended with 0")
	}
	g.start()
	g.responses <- "a"
	if status, _ := g.dial().get("t1"); status != 200 {
		t.Errorf("the successor: %d, want 200", status)
	}
}

// Another process still holds the address at the start. The gateway gave up; it has to wait for it.
func TestAStartWaitsForItsAddress(t *testing.T) {
	g, _ := startGateway(t)
	g.kill()
	held, err := net.Listen("tcp", g.listen)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(500*time.Millisecond, func() { held.Close() })
	g.start()
	g.responses <- "a"
	if status, _ := g.dial().get("t1"); status != 200 {
		t.Errorf("%d, want 200", status)
	}
}

// A gateway is restarted while discovery is down. It must be ready within ten seconds, by the list that it
// held last.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	for _, discovery := range []string{"127.0.0.1:1", startSilent(t)} { // refuses connections; accepts and is silent
		servers := (&scriptedServer{behavior: func(int) string { return "ok" }}).start(t)
		known, err := json.Marshal(map[string]any{"rev": 1, "all": true, "targets": servers})
		if err != nil {
			t.Fatal(err)
		}
		config := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,
 "limits":{"cores":1,"memory_mb":64,"sockets":128},"known":%s,"settings":%s}`, discovery, known, settingsText)
		g := startInProcess(t, []byte(config))
		for startedAt := time.Now(); !g.Ready(); time.Sleep(5 * time.Millisecond) {
			if time.Since(startedAt) > 10*time.Second {
				t.Fatalf("discovery at %s: not ready within 10 s", discovery)
			}
		}
		if status, _ := dialClient(t, g.ln.Addr().String()).get("t1"); status != 200 {
			t.Errorf("discovery at %s: %d, want 200", discovery, status)
		}
	}
}

// startInProcess runs a gateway in the test's own process until the test ends.
func startInProcess(t testingT, config []byte) *Gateway {
	t.Helper()
	c, err := parse(config)
	if err != nil {
		t.Fatalf("a valid configuration is refused: %v\n%s", err, config)
	}
	g, err := Start(c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	return g
}

// A client pipelines 300 requests, and all behind the first were lost. Each has to be answered.
func TestManyRequestsAtOnceAreAllAnswered(t *testing.T) {
	const requests = 300
	g, _ := startGateway(t)
	g.respondAtOnce()
	c := g.dial()
	go func() {
		for i := range requests {
			io.WriteString(c.nc, postText(fmt.Sprint("t", i), "abc"))
		}
	}()
	for i := range requests {
		if count := countStatuses([]*client{c}); count[200]+count[429] != 1 {
			t.Fatalf("request %d of %d: answers by status %v, want 200 or 429", i, requests, count)
		}
	}
}

// The process is held up as the request timeout passes, and the last byte of requests arrives meanwhile. They
// are complete and have to be answered.
func TestARequestThatIsWholeAsItsTimeEndsIsAnswered(t *testing.T) {
	g, _ := startGateway(t)
	g.respondAtOnce()
	var clients []*client
	connectedAt := time.Now()
	for i := range 40 {
		c := g.dial()
		text := postText(fmt.Sprint("t", i), "abc")
		io.WriteString(c.nc, text[:len(text)-1])
		clients = append(clients, c)
	}
	time.Sleep(time.Until(connectedAt.Add(1880 * time.Millisecond)))
	g.holdUp(300*time.Millisecond, func() {
		for _, c := range clients {
			io.WriteString(c.nc, "c")
		}
	})
	if count := countStatuses(clients); count[0] > 0 {
		t.Errorf("answers by status %v, want none closed without one", count)
	}
}

// A client stops in the middle of its request. It gets a 408, not just a close: its last byte may be on the
// way.
func TestARequestThatIsNeverWholeIsAnswered(t *testing.T) {
	g, _ := startGateway(t)
	var clients []*client
	for i := range 5 {
		c := g.dial()
		text := postText(fmt.Sprint("t", i), "abc")
		io.WriteString(c.nc, text[:len(text)-1])
		clients = append(clients, c)
	}
	sentAt := time.Now()
	if count := countStatuses(clients); count[408] != len(clients) {
		t.Errorf("answers by status %v, want 408 for all", count)
	}
	if took := time.Since(sentAt); took > 3*time.Second {
		t.Errorf("answered after %v, want 3 s at most", took)
	}
}

// Silent connections arrive in the moment in which requests become complete, and the limit is reached. They
// must not evict a connection with a request.
func TestSilentConnectionsTakeNoSeatFromARequest(t *testing.T) {
	g, _ := startGateway(t)
	g.respondAtOnce()
	var clients []*client
	for i := range 20 {
		c := g.dial()
		text := postText(fmt.Sprint("t", i), "abc")
		io.WriteString(c.nc, text[:40])
		clients = append(clients, c)
	}
	g.holdUp(70*time.Millisecond, func() {
		for i, c := range clients {
			io.WriteString(c.nc, postText(fmt.Sprint("t", i), "abc")[40:])
		}
		for range 120 {
			if nc, err := net.Dial("tcp", g.listen); err == nil {
				t.Cleanup(func() { nc.Close() })
			}
		}
	})
	// The core may refuse some of what comes at once with 429. None is closed for a silent connection.
	if count := countStatuses(clients); count[200]+count[429] != len(clients) || count[200] == 0 {
		t.Errorf("answers by status %v, want 200 or 429 for all", count)
	}
}
