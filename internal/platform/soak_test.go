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

	"winghatch/internal/socket"
)

// The soak plays seeded troubles against a gateway's process and holds what clients and servers saw against the page's rules.
// SOAK_SEEDS names how many seeds are played, SOAK_FROM the first.
const (
	soakSeeds   = 6
	soakFor     = 5 * time.Second
	soakClients = 8
	soakKill    = 2200 * time.Millisecond // the longest deadline and 0.7 s
	heldUp      = 150 * time.Millisecond
	soakCross   = 50 * time.Millisecond  // what is on its way has come by then
	busy        = 400 * time.Millisecond // what the machine may add to any time of the test
)

type soakClass struct {
	name, effect string
	deadline     time.Duration
}

var soakClasses = []soakClass{{"get", "safe", 1500 * time.Millisecond}, {"put", "keyed", 1200 * time.Millisecond}, {"pay", "unsafe", 900 * time.Millisecond}}

const soakWindow = 600 * time.Millisecond

func soakSettings() string {
	var classes []string
	for _, k := range soakClasses {
		classes = append(classes, fmt.Sprintf(`{"Name":%q,"Effect":%q,"Group":"all","AimNs":%d,"GiveUpNs":%d,"WindowNs":%d,"LateWorth":1,"Importance":1}`,
			k.name, k.effect, k.deadline/2, k.deadline, soakWindow))
	}
	from := strings.Index(settingsText, `"TiersOfService"`)
	return `{"Classes":[` + strings.Join(classes, ",") + `],` + settingsText[from:]
}

// asked is a request as its client saw it.
type asked struct {
	class     soakClass
	remaining time.Duration
	sent      time.Time // its last byte
	left      time.Time // its client closed; zero: it stayed
	status    int       // 0: none
	body      string
	answered  time.Time
	begun     bool // some of it was read long before its last byte
}

// arrival is an attempt as a server saw it.
type arrival struct {
	server string
	at     time.Time
	told   time.Duration
	ran    bool
}

type soak struct {
	*world
	rng      *rand.Rand // of the script
	d        *discovery
	mu       sync.Mutex
	requests map[string]*asked
	arrivals map[string][]arrival
	drained  map[string]time.Time // told by then
	next     atomic.Int64
	stopped  atomic.Bool
}

// serve starts a server whose answers fail as the seed says.
func (s *soak) serve(name string, seed uint64) string {
	ln := listener(s.t)
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
	for r := bufio.NewReader(nc); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		txn := q.Header.Get("X-Txn")
		ms, _ := strconv.Atoi(q.Header.Get("X-Remaining-Ms"))
		mood := rng.IntN(100)
		s.mu.Lock()
		s.arrivals[txn] = append(s.arrivals[txn], arrival{name, time.Now(), time.Duration(ms) * time.Millisecond, mood >= 6})
		s.mu.Unlock()
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(txn), txn)
		if mood >= 6 {
			time.Sleep(time.Duration(2+rng.IntN(30)) * time.Millisecond)
		}
		switch {
		case mood < 6:
			io.WriteString(nc, "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		case mood < 12:
			io.WriteString(nc, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		case mood < 18:
			nc.(*net.TCPConn).SetLinger(0)
			return
		case mood < 22:
			io.WriteString(nc, whole[:len(whole)-1])
			return
		case mood < 26:
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+txn)
			return
		case mood < 32: // and a second one late
			io.WriteString(nc, whole)
			nc.SetReadDeadline(time.Now().Add(time.Duration(1+rng.IntN(15)) * time.Millisecond))
			_, err := r.Peek(1)
			nc.SetReadDeadline(time.Time{})
			if errors.Is(err, os.ErrDeadlineExceeded) {
				io.WriteString(nc, whole)
			}
		case mood < 35: // it hangs
			r.Peek(1)
		default:
			io.WriteString(nc, whole)
		}
	}
}

// client asks on connections of its own until the process has ended.
func (s *soak) client(rng *rand.Rand) {
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
		if !s.ask(c, rng) {
			c.nc.Close()
			c = nil
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		if rng.IntN(40) == 0 {
			time.Sleep(1900 * time.Millisecond) // rests for about as long as a connection may
		}
	}
	if c != nil {
		c.nc.Close()
	}
}

// ask sends one request; false ends the connection.
func (s *soak) ask(c *client, rng *rand.Rand) bool {
	k := soakClasses[rng.IntN(len(soakClasses))]
	txn := fmt.Sprint("t", s.next.Add(1))
	a := &asked{class: k, remaining: k.deadline * time.Duration(20+rng.IntN(81)) / 100}
	s.mu.Lock()
	s.requests[txn] = a
	s.mu.Unlock()
	text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: s\r\nContent-Length: 3\r\n%s\r\nabc", s.fields(txn, a))
	if k.effect == "safe" {
		text = fmt.Sprintf("GET /api HTTP/1.1\r\nHost: s\r\n%s\r\n", s.fields(txn, a))
	}
	if rng.IntN(8) == 0 { // slowly
		n := rng.IntN(len(text))
		io.WriteString(c.nc, text[:n])
		text = text[n:]
		time.Sleep(soakCross)
		crossed := c.ended() // the gateway had ended the connection before it could read this
		wait := time.Duration(rng.IntN(600)) * time.Millisecond
		time.Sleep(wait)
		a.begun = n > 0 && !crossed && wait > heldUp+busy/2
	}
	a.sent = time.Now()
	_, err := io.WriteString(c.nc, text)
	if rng.IntN(12) == 0 {
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		a.left = time.Now()
		return false
	}
	if err == nil {
		c.nc.SetReadDeadline(a.sent.Add(a.remaining + 5*time.Second))
		var res *http.Response
		if res, err = http.ReadResponse(c.r, nil); err == nil {
			var raw []byte
			if raw, err = io.ReadAll(res.Body); err == nil {
				a.status, a.body, a.answered = res.StatusCode, string(raw), time.Now()
				return !res.Close
			}
		}
	}
	return false
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

func (s *soak) fields(txn string, a *asked) string {
	text := strings.Replace(fields(txn, a.class.name, "team"), "3900", fmt.Sprint(a.remaining.Milliseconds()), 1)
	if a.class.effect == "keyed" {
		text += "Idempotency-Key: k" + txn + "\r\n"
	}
	return text
}

// trouble plays the seed's script.
func (s *soak) trouble(addrs map[string]string, slow bool) {
	end := time.Now().Add(soakFor)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+s.rng.IntN(300)) * time.Millisecond)
		switch s.rng.IntN(6) {
		case 0, 1:
			s.hold(least(time.Duration(s.rng.Int64N(int64(heldUp)))), func() {})
		case 2:
			for range 1 + s.rng.IntN(3) {
				s.proc.Process.Signal(syscall.SIGHUP)
			}
		case 3: // the file is half written at the signal
			if raw, err := os.ReadFile(s.file); err == nil {
				os.WriteFile(s.file, raw[:len(raw)/2], 0o600)
				s.proc.Process.Signal(syscall.SIGHUP)
				time.Sleep(50 * time.Millisecond)
				os.WriteFile(s.file, raw, 0o600)
			}
		case 4: // a crowd that says nothing
			for range 60 {
				if nc, err := net.Dial("tcp", s.listen); err == nil {
					time.AfterFunc(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() { nc.Close() })
				}
			}
		case 5:
			if len(s.drained) < len(addrs)-2 {
				name := fmt.Sprint("s", len(s.drained))
				s.d.set(target(name, addrs[name], "draining", 0))
				told := time.Now()
				if slow {
					told = told.Add(6 * time.Second)
				}
				s.drained[name] = told
			}
		}
	}
}

// judge holds what was seen against the rules.
func (s *soak) judge(term time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := map[string]int{}
	for txn, a := range s.requests {
		arrivals := s.arrivals[txn]
		count[fmt.Sprint(a.status)]++
		if a.status == 200 && a.body != txn {
			s.t.Errorf("%s was served %q", txn, a.body)
		}
		if a.status == 0 && a.left.IsZero() && len(arrivals) > 0 {
			s.t.Errorf("%s (%s), sent %v to SIGTERM, was sent on and has no answer", txn, a.class.name, term.Sub(a.sent))
		}
		if a.status == 0 && a.left.IsZero() && a.begun {
			s.t.Errorf("%s (%s), sent %v to SIGTERM, was read in part and has no answer", txn, a.class.name, term.Sub(a.sent))
		}
		if late := a.answered.Sub(a.sent.Add(a.remaining)); a.status > 0 && late > 500*time.Millisecond+busy {
			s.t.Errorf("%s was answered %v behind its time", txn, late)
		}
		ran := 0
		var first time.Time
		for _, v := range arrivals {
			if left := a.sent.Add(a.remaining).Sub(v.at); v.told > left+heldUp+busy {
				s.t.Errorf("%s: a server was told %v with %v left", txn, v.told, left)
			}
			if !a.left.IsZero() && v.at.Sub(a.left) > 100*time.Millisecond+heldUp+busy {
				s.t.Errorf("%s: an attempt began %v behind its client's end", txn, v.at.Sub(a.left))
			}
			if told, ok := s.drained[v.server]; ok && v.at.Sub(told) > 1050*time.Millisecond+heldUp+busy {
				s.t.Errorf("%s: went to %s %v behind its drain", txn, v.server, v.at.Sub(told))
			}
			if !first.IsZero() && (a.class.effect == "unsafe" || a.class.effect == "keyed" && v.at.Sub(first) > soakWindow+heldUp) {
				s.t.Errorf("%s (%s) was sent again %v behind an attempt that ran", txn, a.class.effect, v.at.Sub(first))
			}
			if v.ran {
				ran++
				if first.IsZero() {
					first = v.at
				}
			}
		}
		if a.status == 429 && ran > 0 && a.class.effect == "unsafe" {
			s.t.Errorf("%s ran and was refused", txn)
		}
	}
	s.t.Logf("%d requests by status %v, %d servers drained", len(s.requests), count, len(s.drained))
	if count["200"] < len(s.requests)/4 {
		s.t.Errorf("%d of %d requests were served, want a quarter", count["200"], len(s.requests))
	}
}

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
	w, _ := runWith(t, soakSettings())
	s := &soak{world: w, rng: rand.New(rand.NewPCG(seed, 0)), d: newDiscovery(), requests: map[string]*asked{}, arrivals: map[string][]arrival{},
		drained: map[string]time.Time{}}
	addrs := map[string]string{}
	var all []map[string]any
	for i := range 5 {
		name := fmt.Sprint("s", i)
		addrs[name] = s.serve(name, seed<<8+uint64(i))
		all = append(all, target(name, addrs[name], "ready", 0))
	}
	s.d.set(all...)
	slow := s.rng.IntN(2) == 0
	if slow {
		s.d.late, s.d.lateOpen = time.Duration(s.rng.IntN(1300))*time.Millisecond, time.Duration(s.rng.IntN(1100))*time.Millisecond
	}
	w.config(s.d.serve(t))
	w.proc.Process.Signal(syscall.SIGHUP)
	w.until("the list is followed", func() bool { s.d.mu.Lock(); defer s.d.mu.Unlock(); return len(s.d.asked) > 1 })
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Add(1)
		go func() { defer clients.Done(); s.client(rand.New(rand.NewPCG(seed, uint64(i+1)))) }()
	}
	s.trouble(addrs, slow)
	term := time.Now()
	for range 1 + s.rng.IntN(3) {
		w.proc.Process.Signal(syscall.SIGHUP)
		w.proc.Process.Signal(syscall.SIGTERM)
	}
	select {
	case err := <-w.ended:
		if err != nil {
			t.Errorf("the process ended with %v, want 0", err)
		}
	case <-time.After(time.Until(term.Add(soakKill))):
		w.proc.Process.Kill()
	}
	s.stopped.Store(true)
	clients.Wait()
	s.judge(term)
	if t.Failed() {
		text, _ := os.ReadFile(w.log.Name())
		t.Logf("log:\n%s", text)
	}
}
