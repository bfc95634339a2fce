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
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"winghatch/internal/testbed/ports"
)

// The test's own program is the gateway's process, as the command's is.
func TestMain(m *testing.M) {
	if file := os.Getenv("PLATFORM_TEST_CONFIG"); file != "" {
		if os.Getenv("PLATFORM_TEST_REFUSE") != "" {
			if err := refuseCalls(); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(3)
			}
		}
		if os.Getenv("PLATFORM_TEST_FAULTS") != "" {
			failCalls()
		}
		if n, err := strconv.ParseUint(os.Getenv("PLATFORM_TEST_DESCRIPTORS"), 10, 64); err == nil {
			syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
		}
		signals := Notify()
		c, err := Load(file)
		if err == nil {
			ApplyLimits(c)
			var g *Gateway
			out := NewLogWriter(os.Stderr)
			if g, err = Start(c, slog.New(slog.NewTextHandler(out, nil))); err == nil {
				g.Wait(file, signals)
				out.Close()
				os.Exit(0)
			}
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

const settingsText = `{"Classes":[{"Name":"get","Effect":"safe","AimNs":2000000000,"GiveUpNs":4000000000,"Importance":1,"WindowNs":0},
 {"Name":"pay","Effect":"unsafe","AimNs":2000000000,"GiveUpNs":4000000000,"Importance":1}],
 "TiersOfService":[{"Name":"team","Refill":1000,"MostAtOnce":1000,"Pays":1},{"Name":"small","Refill":0.001,"MostAtOnce":1,"Pays":1}],
 "Extra":{"UnitsTop":8,"PeerIntake":40},"Limits":{"SendCap":5,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterNs":500000000,
 "ConnectTimeoutNs":250000000,"ConnIdleNs":30000000000,"OpenCap":1000},
 "Safety":{"AnswerSlackNs":16000000,"DrainGraceNs":1000000000,"ColdFrom":0.2,"ColdNs":14000000000,"FallMultiple":4,"FallNs":1000000000},
 "Instances":1,"Rank":0,"Zone":"a"}`

// world is a server and a list around a gateway's process.
type world struct {
	t        *testing.T
	file     string
	addr     string
	listen   string
	proc     *exec.Cmd
	ended    chan error
	log      *os.File
	settings string
	hits     chan string // X-Txn of what reached the server
	answer   chan string // bodies; the server waits for one before it answers
}

func listener(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// agent is a list of one server, which changes once and then holds still.
func agent(t *testing.T, server string, told chan<- string) string {
	ln := listener(t)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		select {
		case told <- r.URL.RawQuery:
		default:
		}
		if r.URL.Query().Get("from") != "" {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
			fmt.Fprint(w, `{"rev":41,"all":false,"targets":[]}`)
			return
		}
		fmt.Fprintf(w, `{"rev":41,"all":true,"targets":[{"uid":"s1","endpoint":%q,"az":"a","model":"m","state":"ready","capacity_hint":1,"boot_ms":0}]}`, server)
	})
	s := &http.Server{Handler: mux}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

func (w *world) config(discovery string) {
	w.t.Helper()
	raw := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":0.5,"memory_mb":64,"sockets":256},"peer_listen":"","peers":[],"known":{"rev":1,"all":true,"targets":[]},"settings":%s}`,
		w.listen, discovery, w.settings)
	if err := os.WriteFile(w.file, []byte(raw), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

func run(t *testing.T, env ...string) (*world, chan string) {
	t.Helper()
	return runWith(t, settingsText, env...)
}

// runWith runs a gateway under other settings.
func runWith(t *testing.T, settings string, env ...string) (*world, chan string) {
	t.Helper()
	w := &world{t: t, settings: settings, file: filepath.Join(t.TempDir(), "config.json"), hits: make(chan string, 100), answer: make(chan string, 100),
		ended: make(chan error, 1)}
	ln := listener(t)
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.hits <- r.Header.Get("X-Txn")
		select {
		case a := <-w.answer:
			io.WriteString(rw, a)
		case <-r.Context().Done():
		}
	})}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	var free ports.Reservation
	addr, err := free.Addr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(free.Release)
	w.listen = addr
	told := make(chan string, 1000)
	w.config(agent(t, ln.Addr().String(), told))
	w.addr = ln.Addr().String()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	w.log = log
	w.start(env...)
	return w, told
}

// start runs a process and waits until it is ready.
func (w *world) start(env ...string) {
	w.t.Helper()
	w.spawn(env...)
	w.until("ready", func() bool { status, _ := w.ask("GET /health/ready", ""); return status == 200 })
}

// spawn runs a process.
func (w *world) spawn(env ...string) {
	w.t.Helper()
	p := exec.Command(os.Args[0])
	p.Env = append(append(os.Environ(), "PLATFORM_TEST_CONFIG="+w.file), env...)
	p.Stderr = w.log
	if err := p.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.proc = p
	go func() { w.ended <- p.Wait() }()
	w.t.Cleanup(func() { p.Process.Kill() })
}

// until waits for a condition, 20 s at most.
func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			text, _ := os.ReadFile(w.log.Name())
			w.t.Fatalf("not within 20 s: %s\n%s", what, text)
		}
	}
}

// ask sends a request on a connection of its own.
func (w *world) ask(first, fields string) (status int, body string) {
	nc, err := net.Dial("tcp", w.listen)
	if err != nil {
		return 0, ""
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(nc, "%s HTTP/1.1\r\nHost: s\r\n%s\r\n", first, fields)
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, ""
	}
	raw, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(raw)
}

func fields(txn, lane, plan string) string {
	return "X-Txn: " + txn + "\r\nX-Lane: " + lane + "\r\nX-Plan: " + plan +
		"\r\nX-Customer: 00000000b4d65521\r\nX-Remaining-Ms: 3900\r\nX-Quota: units=1,spread=1,first=0\r\n"
}

func (w *world) end(within time.Duration) {
	w.t.Helper()
	select {
	case err := <-w.ended:
		if err != nil {
			w.t.Errorf("the process ended with %v, want 0", err)
		}
	case <-time.After(within):
		w.t.Errorf("the process did not end within %v", within)
	}
}

func TestAGatewayOfThePlatform(t *testing.T) {
	w, _ := run(t)
	w.answer <- "hello"
	if status, body := w.ask("GET /api", fields("t1", "get", "team")); status != 200 || body != "hello" {
		t.Errorf("%d %q, want 200 and the server's body", status, body)
	}
	if txn := <-w.hits; txn != "t1" {
		t.Errorf("the server got %q, want t1", txn)
	}
	for range 3 { // over its mark at the second, without waiting
		if status, _ := w.ask("GET /api", fields("t2", "get", "small")); status == 200 {
			w.answer <- "x"
		}
	}
	if status, _ := w.ask("GET /api", fields("t3", "get", "small")); status != 429 {
		t.Errorf("beyond its quota: %d, want 429", status)
	}
	if status, _ := w.ask("GET /api", fields("t4", "none", "team")); status != 400 {
		t.Errorf("an unknown class: %d, want 400", status)
	}
}

// SIGHUP: a file that can't be used changes nothing; one that can is followed, also past a dead address; several in a
// row end at the last.
func TestReload(t *testing.T) {
	w, _ := run(t)
	if err := os.WriteFile(w.file, []byte(`{"listen":"x"`), 0o600); err != nil {
		t.Fatal(err)
	}
	w.proc.Process.Signal(syscall.SIGHUP)
	w.until("the bad file is told of", func() bool { return w.logged("New configuration cannot be used") })
	w.config("127.0.0.1:1")
	w.proc.Process.Signal(syscall.SIGHUP)
	w.until("the dead address is tried", func() bool { return w.logged("Endpoint list cannot be followed") })
	told := make(chan string, 1000)
	w.config(agent(t, w.addr, told))
	for range 3 {
		w.proc.Process.Signal(syscall.SIGHUP)
	}
	select {
	case <-told:
	case <-time.After(20 * time.Second):
		t.Fatal("the new list is not asked")
	}
	w.answer <- "still here"
	if status, body := w.ask("GET /api", fields("t1", "get", "team")); status != 200 || body != "still here" {
		t.Errorf("%d %q, want 200", status, body)
	}
}

func (w *world) logged(what string) bool {
	text, _ := os.ReadFile(w.log.Name())
	return strings.Contains(string(text), what)
}

// SIGTERM: what is open is answered, new connections are taken for a while, SIGHUP does no harm, and the process ends
// before it would be killed.
func TestStop(t *testing.T) {
	w, _ := run(t)
	got := make(chan string, 2)
	ask := func(txn string) {
		status, body := w.ask("GET /api", fields(txn, "get", "team"))
		got <- fmt.Sprint(status, " ", body)
	}
	go ask("open")
	<-w.hits
	w.proc.Process.Signal(syscall.SIGTERM)
	w.until("it stops", func() bool { status, _ := w.ask("GET /health/ready", ""); return status == 503 })
	w.proc.Process.Signal(syscall.SIGHUP)
	go ask("after")
	<-w.hits
	w.answer <- "a"
	w.answer <- "a"
	for range 2 {
		if s := <-got; s != "200 a" {
			t.Errorf("answered %q, want 200 a", s)
		}
	}
	w.end(4 * time.Second)
}

func TestConfigurationsThatCantBeUsed(t *testing.T) {
	whole := `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"cores":1,"memory_mb":64,"sockets":256},"seed":"1f","settings":` + settingsText + `}`
	if _, err := parse([]byte(whole)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, `"listen" is "here"`}, {`"discovery":"127.0.0.1:2"`, `"discovery":""`, `"discovery" is ""`},
		{`"memory_mb":64`, `"memory_mb":-1`, `"limits.memory_mb" is -1`}, {`"sockets":256`, `"sockets":8`, `"limits.sockets" is 8`},
		{`"memory_mb":64`, `"memory_mb":"much"`, `limits.memory_mb`}, {`"seed":"1f"`, `"seed":"xyz"`, `"seed" is "xyz"`},
		{`"Effect":"safe"`, `"Effect":"odd"`, `Classes[0].Effect`}, {`"AimNs":2000000000`, `"AimNs":"soon"`, "AimNs"},
		{`"SendCap":5`, `"SendCap":0`, "MaxAttempts is 0"}, {`"Instances":1`, `"Instances":0`, "Gateways is 0"},
		{`"seed":"1f"`, `"known":{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"h:1","state":"odd"}]}`, `targets[0].state is "odd"`},
	} {
		text := strings.Replace(whole, c.from, c.to, 1)
		if text == whole || !json.Valid([]byte(text)) {
			t.Fatalf("%s is not in the configuration", c.from)
		}
		if _, err := parse([]byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one that says %s", c.to, err, c.want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.json")); err == nil || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("a missing file: %v, want an error that names it", err)
	}
}
