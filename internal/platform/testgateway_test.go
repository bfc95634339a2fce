package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"winghatch/internal/socket"
	"winghatch/internal/testbed/ports"
)

// testGateway is a gateway in a process of its own, with one server and a discovery that lists it.
type testGateway struct {
	t          *testing.T
	configPath string
	settings   string
	listen     string // the gateway's address
	serverAddr string
	received   chan string // X-Txn of requests that reached the server
	responses  chan string // bodies; the server waits for one before it responds
	process    *exec.Cmd
	exited     chan error
	log        *os.File
}

// startGateway starts a gateway with settingsText and waits until it is ready. The channel gets the queries
// that its discovery is asked.
func startGateway(t *testing.T, env ...string) (*testGateway, chan string) {
	t.Helper()
	return startGatewayWith(t, settingsText, env...)
}

// startGatewayWith starts a gateway with other settings.
func startGatewayWith(t *testing.T, settings string, env ...string) (*testGateway, chan string) {
	t.Helper()
	g := &testGateway{
		t:          t,
		configPath: filepath.Join(t.TempDir(), "config.json"),
		settings:   settings,
		received:   make(chan string, 100),
		responses:  make(chan string, 100),
		exited:     make(chan error, 1),
	}
	g.serverAddr = serveHTTP(t, http.HandlerFunc(g.handle))
	var port ports.Reservation
	addr, err := port.Addr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(port.Release)
	g.listen = addr
	queries := make(chan string, 1000)
	g.writeConfig(startDiscovery(t, g.serverAddr, queries))
	if g.log, err = os.Create(filepath.Join(t.TempDir(), "log")); err != nil {
		t.Fatal(err)
	}
	g.start(env...)
	return g, queries
}

// handle is the server's.
func (g *testGateway) handle(rw http.ResponseWriter, r *http.Request) {
	g.received <- r.Header.Get("X-Txn")
	select {
	case body := <-g.responses:
		io.WriteString(rw, body)
	case <-r.Context().Done():
	}
}

// writeConfig writes the configuration file with a discovery address.
func (g *testGateway) writeConfig(discovery string) {
	g.t.Helper()
	raw := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":0.5,"memory_mb":64,"sockets":256},"peer_listen":"","peers":[],
 "known":{"rev":1,"all":true,"targets":[]},"settings":%s}`,
		g.listen, discovery, g.settings)
	if err := os.WriteFile(g.configPath, []byte(raw), 0o600); err != nil {
		g.t.Fatal(err)
	}
}

// start starts the process and waits until it is ready.
func (g *testGateway) start(env ...string) {
	g.t.Helper()
	g.spawn(env...)
	g.waitUntil("ready", func() bool { return g.readyStatus() == 200 })
}

// spawn starts the process.
func (g *testGateway) spawn(env ...string) {
	g.t.Helper()
	process := exec.Command(os.Args[0])
	process.Env = append(append(os.Environ(), envConfig+"="+g.configPath), env...)
	process.Stderr = g.log
	if err := process.Start(); err != nil {
		g.t.Fatal(err)
	}
	g.process = process
	go func() { g.exited <- process.Wait() }()
	g.t.Cleanup(func() { process.Process.Kill() })
}

func (g *testGateway) signal(s os.Signal) { g.process.Process.Signal(s) }

// kill kills the process and waits for its end.
func (g *testGateway) kill() error {
	g.process.Process.Kill()
	return <-g.exited
}

// expectExit expects the process to exit with 0.
func (g *testGateway) expectExit(within time.Duration) {
	g.t.Helper()
	select {
	case err := <-g.exited:
		if err != nil {
			g.t.Errorf("the process ended with %v, want 0", err)
		}
	case <-time.After(within):
		g.t.Errorf("the process did not end within %v", within)
	}
}

// waitUntil waits for a condition, 20 s at most.
func (g *testGateway) waitUntil(what string, ok func() bool) {
	g.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			text, _ := os.ReadFile(g.log.Name())
			g.t.Fatalf("not within 20 s: %s\n%s", what, text)
		}
	}
}

func (g *testGateway) logContains(text string) bool {
	log, _ := os.ReadFile(g.log.Name())
	return strings.Contains(string(log), text)
}

// holdUp stops the process, runs f, and lets the process go on after atLeast: as on a machine that does not
// schedule it.
func (g *testGateway) holdUp(atLeast time.Duration, f func()) {
	g.t.Helper()
	g.signal(syscall.SIGSTOP)
	g.waitUntil("the process is stopped", func() bool {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.process.Process.Pid))
		text := string(raw)
		fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
		return len(fields) > 0 && fields[0] == "T"
	})
	heldAt := time.Now()
	f()
	time.Sleep(atLeast - time.Since(heldAt))
	g.signal(syscall.SIGCONT)
}

// respondAtOnce makes the server respond to each request at once.
func (g *testGateway) respondAtOnce() {
	g.neverRespond()
	go func() {
		for {
			select {
			case g.responses <- "a":
			case <-g.t.Context().Done():
				return
			}
		}
	}()
}

// neverRespond makes the server take any number of requests, without a response.
func (g *testGateway) neverRespond() {
	go func() {
		for {
			select {
			case <-g.received:
			case <-g.t.Context().Done():
				return
			}
		}
	}()
}

// request sends a request on a connection of its own; status 0 means that there was no response.
func (g *testGateway) request(first, fields string) (status int, body string) {
	nc, err := net.Dial("tcp", g.listen)
	if err != nil {
		return 0, ""
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(nc, "%s HTTP/1.1\r\nHost: s\r\n%s\r\n", first, fields)
	response, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, ""
	}
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(raw)
}

// readyStatus is the status of the health check.
func (g *testGateway) readyStatus() int {
	status, _ := g.request("GET /health/ready", "")
	return status
}

// client is a connection that stays open.
type client struct {
	t  *testing.T
	nc net.Conn
	r  *bufio.Reader
}

func (g *testGateway) dial() *client {
	g.t.Helper()
	return dialClient(g.t, g.listen)
}

func dialClient(t *testing.T, addr string) *client {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(30 * time.Second))
	return &client{t, nc, bufio.NewReader(nc)}
}

// get sends a GET and returns the status of the response and whether the connection ends with it; status 0
// means that it ended before.
func (c *client) get(txn string) (status int, last bool) {
	fmt.Fprintf(c.nc, "GET /api HTTP/1.1\r\nHost: s\r\n%s\r\n", requestFields(txn, "get", "team"))
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, true
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close
}

// ended reports whether the gateway has ended the connection.
func (c *client) ended() bool {
	raw, err := c.nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	_, ended := socket.Peek(raw)
	return ended
}

func requestFields(txn, lane, plan string) string {
	return "X-Txn: " + txn + "\r\nX-Lane: " + lane + "\r\nX-Plan: " + plan +
		"\r\nX-Customer: 00000000b4d65521\r\nX-Remaining-Ms: 3900\r\nX-Quota: units=1,spread=1,first=0\r\n"
}

// postText is a request of class pay, which must not run twice.
func postText(txn, body string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n%s\r\n%s",
		len(body), requestFields(txn, "pay", "team"), body)
}

// countStatuses reads one response on each connection and counts their statuses; 0 is an end without one.
func countStatuses(clients []*client) map[int]int {
	count := map[int]int{}
	for _, c := range clients {
		count[c.readStatus()]++
	}
	return count
}

func (c *client) readStatus() int {
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
