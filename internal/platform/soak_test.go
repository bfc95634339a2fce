package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The soak injects seeded faults into a gateway process's surroundings, and checks what clients and servers
// saw against the platform's rules. SOAK_SEEDS is the number of seeds, SOAK_FROM the first one.
const (
	soakSeeds    = 6
	soakDuration = 5 * time.Second // of the faults of one seed
	soakClients  = 8
	soakKill     = 2200 * time.Millisecond // after SIGTERM: the longest deadline and 0.7 s
	soakWindow   = 600 * time.Millisecond  // deduplication window of each class
	maxHoldUp    = 150 * time.Millisecond
	crossingTime = 50 * time.Millisecond  // by then what is on its way has arrived
	machineSlack = 400 * time.Millisecond // what the machine may add to any time of the test
)

type soakClass struct {
	name, effect string
	deadline     time.Duration
}

var soakClasses = []soakClass{
	{"get", "safe", 1500 * time.Millisecond},
	{"put", "keyed", 1200 * time.Millisecond},
	{"pay", "unsafe", 900 * time.Millisecond},
}

// soakSettings is settingsText with soakClasses.
func soakSettings() string {
	var classes []string
	for _, class := range soakClasses {
		classes = append(classes, fmt.Sprintf(`{"Name":%q,"Effect":%q,"Group":"all","AimNs":%d,"GiveUpNs":%d,`+
			`"WindowNs":%d,"LateWorth":1,"Importance":1}`,
			class.name, class.effect, class.deadline/2, class.deadline, soakWindow))
	}
	rest := strings.Index(settingsText, `"TiersOfService"`)
	return `{"Classes":[` + strings.Join(classes, ",") + `],` + settingsText[rest:]
}

// soakRequest is a request as its client saw it.
type soakRequest struct {
	class      soakClass
	remaining  time.Duration
	sentAt     time.Time // when its last byte was sent
	leftAt     time.Time // when its client closed; zero: it stayed
	status     int       // 0: no response
	body       string
	answeredAt time.Time
	begun      bool // some of it was read long before its last byte
}

// soakAttempt is an attempt as a server saw it.
type soakAttempt struct {
	server    string
	at        time.Time
	remaining time.Duration // the time left that the server was told
	ran       bool
}

type soak struct {
	*testGateway
	rng       *rand.Rand // of the faults
	discovery *fakeDiscovery
	mu        sync.Mutex
	requests  map[string]*soakRequest // by X-Txn
	attempts  map[string][]soakAttempt
	drained   map[string]time.Time // when a server's drain has to be known
	nextTxn   atomic.Int64
	stopped   atomic.Bool
}

// serve runs a server whose responses fail as the seed says.
func (s *soak) serve(name string, seed uint64) string {
	ln := listenLocal(s.t)
	var n atomic.Uint64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serveConn(name, nc, rand.New(rand.NewPCG(seed, n.Add(1))))
		}
	}()
	return ln.Addr().String()
}

func (s *soak) serveConn(name string, nc net.Conn, rng *rand.Rand) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		txn := request.Header.Get("X-Txn")
		ms, _ := strconv.Atoi(request.Header.Get("X-Remaining-Ms"))
		fault := rng.IntN(100)
		ran := fault >= 6
		s.mu.Lock()
		s.attempts[txn] = append(s.attempts[txn], soakAttempt{
			server:    name,
			at:        time.Now(),
			remaining: time.Duration(ms) * time.Millisecond,
			ran:       ran,
		})
		s.mu.Unlock()
		if ran {
			time.Sleep(time.Duration(2+rng.IntN(30)) * time.Millisecond)
		}
		if !respondWithFault(nc, r, txn, fault, rng) {
			return
		}
	}
}

// respondWithFault responds as fault says, of 0 to 99; false ends the connection.
func respondWithFault(nc net.Conn, r *bufio.Reader, txn string, fault int, rng *rand.Rand) bool {
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(txn), txn)
	switch {
	case fault < 6: // refused before execution
		io.WriteString(nc, "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
	case fault < 12:
		io.WriteString(nc, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	case fault < 18: // a reset
		nc.(*net.TCPConn).SetLinger(0)
		return false
	case fault < 22: // cut off
		io.WriteString(nc, whole[:len(whole)-1])
		return false
	case fault < 26: // without a length
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+txn)
		return false
	case fault < 32: // a second response, late
		io.WriteString(nc, whole)
		nc.SetReadDeadline(time.Now().Add(time.Duration(1+rng.IntN(15)) * time.Millisecond))
		_, err := r.Peek(1)
		nc.SetReadDeadline(time.Time{})
		if errors.Is(err, os.ErrDeadlineExceeded) {
			io.WriteString(nc, whole)
		}
	case fault < 35: // it hangs
		r.Peek(1)
	default:
		io.WriteString(nc, whole)
	}
	return true
}

// runClient sends requests on connections of its own until the process has ended.
func (s *soak) runClient(rng *rand.Rand) {
	var c *client
	for !s.stopped.Load() {
		if c == nil {
			nc, err := net.Dial("tcp", s.listen)
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			c = &client{s.t, nc, bufio.NewReader(nc)}
		}
		if !s.request(c, rng) {
			c.nc.Close()
			c = nil
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		if rng.IntN(40) == 0 {
			time.Sleep(1900 * time.Millisecond) // idle for about as long as the gateway allows
		}
	}
	if c != nil {
		c.nc.Close()
	}
}

// request sends one request and reads its response; false ends the connection.
func (s *soak) request(c *client, rng *rand.Rand) bool {
	class := soakClasses[rng.IntN(len(soakClasses))]
	txn := fmt.Sprint("t", s.nextTxn.Add(1))
	request := &soakRequest{class: class, remaining: class.deadline * time.Duration(20+rng.IntN(81)) / 100}
	s.mu.Lock()
	s.requests[txn] = request
	s.mu.Unlock()
	text := request.text(txn)
	if rng.IntN(8) == 0 {
		text = request.sendPart(c, text, rng)
	}
	request.sentAt = time.Now()
	_, err := io.WriteString(c.nc, text)
	if rng.IntN(12) == 0 {
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		request.leftAt = time.Now()
		return false
	}
	if err != nil {
		return false
	}
	c.nc.SetReadDeadline(request.sentAt.Add(request.remaining + 5*time.Second))
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	request.status, request.body, request.answeredAt = response.StatusCode, string(body), time.Now()
	return !response.Close
}

// sendPart sends a part of a request and waits; it returns the rest.
func (r *soakRequest) sendPart(c *client, text string, rng *rand.Rand) string {
	n := rng.IntN(len(text))
	io.WriteString(c.nc, text[:n])
	time.Sleep(crossingTime)
	crossed := c.ended() // the gateway had ended the connection before it could read this
	wait := time.Duration(rng.IntN(600)) * time.Millisecond
	time.Sleep(wait)
	r.begun = n > 0 && !crossed && wait > maxHoldUp+machineSlack/2
	return text[n:]
}

func (r *soakRequest) text(txn string) string {
	remaining := fmt.Sprint(r.remaining.Milliseconds())
	fields := strings.Replace(requestFields(txn, r.class.name, "team"), "3900", remaining, 1)
	if r.class.effect == "keyed" {
		fields += "Idempotency-Key: k" + txn + "\r\n"
	}
	if r.class.effect == "safe" {
		return "GET /api HTTP/1.1\r\nHost: s\r\n" + fields + "\r\n"
	}
	return "POST /api HTTP/1.1\r\nHost: s\r\nContent-Length: 3\r\n" + fields + "\r\nabc"
}

// injectFaults plays the seed's faults; addrs are the servers by name, slow says that discovery is slow.
func (s *soak) injectFaults(addrs map[string]string, slow bool) {
	end := time.Now().Add(soakDuration)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+s.rng.IntN(300)) * time.Millisecond)
		switch s.rng.IntN(6) {
		case 0, 1:
			s.holdUp(time.Duration(s.rng.Int64N(int64(maxHoldUp))), func() {})
		case 2:
			for range 1 + s.rng.IntN(3) {
				s.signal(syscall.SIGHUP)
			}
		case 3:
			s.signalWithHalfAFile()
		case 4: // many silent connections
			for range 60 {
				if nc, err := net.Dial("tcp", s.listen); err == nil {
					time.AfterFunc(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() { nc.Close() })
				}
			}
		case 5:
			s.drainServer(addrs, slow)
		}
	}
}

// signalWithHalfAFile signals while the configuration is half written.
func (s *soak) signalWithHalfAFile() {
	raw, err := os.ReadFile(s.configPath)
	if err != nil {
		return
	}
	os.WriteFile(s.configPath, raw[:len(raw)/2], 0o600)
	s.signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	os.WriteFile(s.configPath, raw, 0o600)
}

// drainServer lists the next server as draining, as long as two are left.
func (s *soak) drainServer(addrs map[string]string, slow bool) {
	if len(s.drained) >= len(addrs)-2 {
		return
	}
	name := fmt.Sprint("s", len(s.drained))
	s.discovery.set(target(name, addrs[name], "draining", 0))
	known := time.Now()
	if slow {
		known = known.Add(6 * time.Second)
	}
	s.drained[name] = known
}

// check checks what clients and servers saw against the rules; terminated is when SIGTERM came.
func (s *soak) check(terminated time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := map[string]int{}
	for txn, r := range s.requests {
		count[fmt.Sprint(r.status)]++
		s.checkResponse(txn, r, terminated)
		s.checkAttempts(txn, r)
	}
	s.t.Logf("%d requests by status %v, %d servers drained", len(s.requests), count, len(s.drained))
	if count["200"] < len(s.requests)/4 {
		s.t.Errorf("%d of %d requests were served, want a quarter", count["200"], len(s.requests))
	}
}

func (s *soak) checkResponse(txn string, r *soakRequest, terminated time.Time) {
	if r.status == 200 && r.body != txn {
		s.t.Errorf("%s was served %q", txn, r.body)
	}
	unanswered := r.status == 0 && r.leftAt.IsZero()
	if unanswered && len(s.attempts[txn]) > 0 {
		s.t.Errorf("%s (%s), sent %v to SIGTERM, was sent on and has no answer",
			txn, r.class.name, terminated.Sub(r.sentAt))
	}
	if unanswered && r.begun {
		s.t.Errorf("%s (%s), sent %v to SIGTERM, was read in part and has no answer",
			txn, r.class.name, terminated.Sub(r.sentAt))
	}
	late := r.answeredAt.Sub(r.sentAt.Add(r.remaining))
	if r.status > 0 && late > 500*time.Millisecond+machineSlack {
		s.t.Errorf("%s was answered %v behind its time", txn, late)
	}
}

func (s *soak) checkAttempts(txn string, r *soakRequest) {
	var firstRun time.Time // zero: none ran yet
	for _, attempt := range s.attempts[txn] {
		left := r.sentAt.Add(r.remaining).Sub(attempt.at)
		if attempt.remaining > left+maxHoldUp+machineSlack {
			s.t.Errorf("%s: a server was told %v with %v left", txn, attempt.remaining, left)
		}
		afterLeave := attempt.at.Sub(r.leftAt)
		if !r.leftAt.IsZero() && afterLeave > 100*time.Millisecond+maxHoldUp+machineSlack {
			s.t.Errorf("%s: an attempt began %v behind its client's end", txn, afterLeave)
		}
		known, drained := s.drained[attempt.server]
		if drained && attempt.at.Sub(known) > 1050*time.Millisecond+maxHoldUp+machineSlack {
			s.t.Errorf("%s: went to %s %v behind its drain", txn, attempt.server, attempt.at.Sub(known))
		}
		afterRun := attempt.at.Sub(firstRun)
		outsideWindow := r.class.effect == "keyed" && afterRun > soakWindow+maxHoldUp
		if !firstRun.IsZero() && (r.class.effect == "unsafe" || outsideWindow) {
			s.t.Errorf("%s (%s) was sent again %v behind an attempt that ran", txn, r.class.effect, afterRun)
		}
		if attempt.ran && firstRun.IsZero() {
			firstRun = attempt.at
		}
	}
	if r.status == 429 && !firstRun.IsZero() && r.class.effect == "unsafe" {
		s.t.Errorf("%s ran and was refused", txn)
	}
}

// Servers that fail in every way, clients that are slow, leave or pipeline, hold-ups, signals and drains come
// together, as on a bad day in production. Seeds make a run repeatable as far as the script goes.
func TestSoak(t *testing.T) {
	seeds, from := soakSeeds, 1
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = n
	}
	if n, err := strconv.Atoi(os.Getenv("SOAK_FROM")); err == nil {
		from = n
	}
	for seed := from; seed < from+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playSoak(t, uint64(seed)) })
	}
}

func playSoak(t *testing.T, seed uint64) {
	t.Helper()
	g, _ := startGatewayWith(t, soakSettings())
	s := &soak{
		testGateway: g,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		discovery:   newDiscovery(),
		requests:    map[string]*soakRequest{},
		attempts:    map[string][]soakAttempt{},
		drained:     map[string]time.Time{},
	}
	addrs := map[string]string{}
	var targets []map[string]any
	for i := range 5 {
		name := fmt.Sprint("s", i)
		addrs[name] = s.serve(name, seed<<8+uint64(i))
		targets = append(targets, target(name, addrs[name], "ready", 0))
	}
	s.discovery.set(targets...)
	slow := s.rng.IntN(2) == 0
	if slow {
		s.discovery.responseDelay = time.Duration(s.rng.IntN(1300)) * time.Millisecond
		s.discovery.openDelay = time.Duration(s.rng.IntN(1100)) * time.Millisecond
	}
	g.writeConfig(s.discovery.serve(t))
	g.signal(syscall.SIGHUP)
	g.waitUntil("the list is followed", func() bool { return s.discovery.queryCount() > 1 })
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() { s.runClient(rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	s.injectFaults(addrs, slow)
	terminated := time.Now()
	for range 1 + s.rng.IntN(3) {
		g.signal(syscall.SIGHUP)
		g.signal(syscall.SIGTERM)
	}
	select {
	case err := <-g.exited:
		if err != nil {
			t.Errorf("the process ended with %v, want 0", err)
		}
	case <-time.After(time.Until(terminated.Add(soakKill))):
		g.process.Process.Kill()
	}
	s.stopped.Store(true)
	clients.Wait()
	s.check(terminated)
	if t.Failed() {
		log, _ := os.ReadFile(g.log.Name())
		t.Logf("log:\n%s", log)
	}
}
