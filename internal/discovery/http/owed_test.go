package http

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/testbed/ports"
)

// Whatever fails on the way, the next list is asked for; the last of each script holds what was missed.
func TestWhatAWatchMissesIsAskedFor(t *testing.T) {
	first, drained := list(41, true, entry("a", "ready"), entry("b", "ready")), list(44, true, entry("b", "ready"))
	for _, c := range []struct {
		name   string
		script []string
		asked  []string
	}{
		{"silent at once", []string{first, "silence", drained}, []string{"", "from=41", "missed=41"}},
		{"silent after answers", []string{first, list(41, false), list(42, false, entry("c", "ready")), "silence", drained}, []string{"", "from=41", "from=41", "from=42", "missed=42"}},
		{"silent at the next call too", []string{first, "silence", "silence", drained}, []string{"", "from=41", "missed=41", ""}},
		{"reset", []string{first, "reset", drained}, []string{"", "from=41", "missed=41"}},
		{"ends instead of telling", []string{first, "hang up", drained}, []string{"", "from=41", "missed=41"}},
		{"fails twice", []string{first, "hang up", "hang up", drained}, []string{"", "from=41", "missed=41", ""}},
		{"discovery began anew", []string{first, "reset", list(2, false), drained}, []string{"", "from=41", "missed=41", ""}},
		{"whole list as answer to a watch", []string{first, drained}, []string{"", "from=41"}},
		{"indented and in pieces", []string{first, "pieces " + "{\n  \"rev\" : 44 ,\n\t\"all\" : true ,\n  \"targets\" : [\n    " + entry("b", "ready") + "\n  ]\n}\n"}, []string{"", "from=41"}},
		{"chunked", []string{first, "chunked " + drained}, []string{"", "from=41"}},
		{"ends with an answer", []string{first, "last " + list(42, false, entry("c", "ready")), drained}, []string{"", "from=41", "from=42"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := followScript(t, c.script)
			var all []string
			for {
				l := next(t, f.took)
				if l.Rev == 44 {
					if !l.Full || len(l.Targets) != 1 || l.Targets[0].UID != "b" {
						t.Errorf("%+v, want the whole list without a", l)
					}
					break
				}
			}
			for range c.asked {
				all = append(all, next(t, f.asked))
			}
			for i, want := range c.asked {
				if path := pathOf(want); all[i] != path {
					t.Errorf("call %d asked %s, want %s", i, all[i], path)
				}
			}
		})
	}
}

// pathOf is of the whole list, of a watch from a version, or of what was missed since one.
func pathOf(want string) string {
	missed, ok := strings.CutPrefix(want, "missed=")
	switch {
	case want == "":
		return "/registry/instances"
	case ok:
		return "/registry/instances?from=" + missed + "&hold_ms=100"
	}
	return "/registry/instances?" + want + "&hold_ms=50"
}

// A discovery that is slower than each wait is heard all the same, and is asked by a bounded number of calls at once.
func TestASlowDiscoveryIsHeard(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var held, most atomic.Int64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				for n := held.Add(1); n > most.Load(); {
					most.Store(n)
				}
				defer held.Add(-1)
				r := bufio.NewReader(nc)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				nc.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
				if _, err := r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
					return // given up
				}
				text := list(44, true, entry("b", "ready"))
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
			}()
		}
	}()
	f := &trial{took: make(chan *List, 100), asked: make(chan string, 100)}
	f.run(t, ln.Addr().String(), Options{LongPoll: 20 * time.Millisecond, ResponseGrace: 20 * time.Millisecond, HedgeDelay: 20 * time.Millisecond})
	for range 2 {
		if l := next(t, f.took); l.Rev != 44 {
			t.Errorf("rev %d, want 44", l.Rev)
		}
	}
	if n := most.Load(); n > maxCalls+2 { // two that end while the next begin
		t.Errorf("%d calls at once, want %d at most", n, maxCalls)
	}
}

// The same address named anew asks for what was missed at once, beside a watch that may be silent.
func TestTheSameAddressNamedAnew(t *testing.T) {
	f := follow(t, Options{LongPoll: time.Minute}, list(41, true, entry("a", "ready")), "silence", list(44, false, entry("a", "draining")))
	next(t, f.took)
	next(t, f.asked)
	next(t, f.asked)
	f.w.SetAddr(f.w.addr)
	if l := next(t, f.took); l.Rev != 44 {
		t.Errorf("rev %d, want 44", l.Rev)
	}
}

// followScript follows an agent whose answers fail as the script's words say.
func followScript(t *testing.T, script []string) *trial {
	t.Helper()
	f := &trial{took: make(chan *List, 100), asked: make(chan string, 100)}
	f.run(t, agent(t, f.asked, script...), Options{LongPoll: 50 * time.Millisecond, ResponseGrace: 50 * time.Millisecond})
	return f
}

// play answers the calls of a connection by the next steps; behind the last it holds still.
func play(t *testing.T, nc net.Conn, steps <-chan string, asked chan<- string) {
	defer nc.Close()
	for r := bufio.NewReader(nc); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		select {
		case asked <- q.URL.String():
		default:
		}
		step := "silence"
		select {
		case step = <-steps:
		default:
		}
		var kind string
		if kind, _, _ = cut(step); kind != "" {
			step = step[len(kind)+1:]
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(step))
		switch {
		case step == "silence":
			r.Peek(1) // until the other side gives up
			return
		case step == "reset":
			nc.(*net.TCPConn).SetLinger(0)
			return
		case step == "hang up":
			return
		case kind == "chunked":
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(step), step)
		case kind == "pieces":
			for _, b := range []byte(head + "\r\n" + step) {
				nc.Write([]byte{b})
			}
		case kind == "last":
			fmt.Fprint(nc, head+"Connection: close\r\n\r\n"+step)
			return
		default:
			fmt.Fprint(nc, head+"\r\n"+step)
		}
	}
}

func cut(step string) (kind, rest string, ok bool) {
	for _, kind := range []string{"chunked", "pieces", "last"} {
		if len(step) > len(kind) && step[:len(kind)] == kind {
			return kind, step[len(kind)+1:], true
		}
	}
	return "", step, false
}

// Discovery that was down and comes back at its address with a drain is heard, also where a reload led elsewhere and back.
func TestAnOutageAndAReloadThereAndBack(t *testing.T) {
	var port ports.Reservation
	addr, err := port.Addr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(port.Release)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	f := &trial{took: make(chan *List, 100), asked: make(chan string, 10000)}
	serve := func(ln net.Listener, answer string) {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			steps := make(chan string, 1)
			steps <- answer
			go play(t, nc, steps, f.asked)
		}
	}
	go serve(ln, list(41, true, entry("a", "ready")))
	f.run(t, addr, Options{LongPoll: 50 * time.Millisecond, ResponseGrace: 50 * time.Millisecond})
	for l := next(t, f.took); l.Rev != 41; l = next(t, f.took) {
	}
	ln.Close()
	if ln, err = net.Listen("tcp", addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go serve(ln, list(43, true, entry("a", "draining")))
	for l := next(t, f.took); l.Rev != 43; l = next(t, f.took) {
	}
	f.w.SetAddr("127.0.0.1:1")
	f.w.SetAddr(addr)
	for len(f.took) > 0 {
		<-f.took
	}
	if l := next(t, f.took); l.Rev != 43 || serverStates[l.Targets[0].State] != decide.Draining {
		t.Errorf("%+v, want the drain again", l)
	}
}

// What the protocol counts as told 6 s after a watch fell silent is known by then, though a first new connection fails.
func TestAChangeIsKnownInTime(t *testing.T) {
	if known := (Options{}).MaxStaleness(); known > 6*time.Second {
		t.Errorf("a change behind a silent watch is known after %v, want 6 s", known)
	}
}
