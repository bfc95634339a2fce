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

// lateWorth makes answers past the aim worth something: requests then wait for as long as their clients do.
const lateWorth = `"LateWorth":1,"Importance":1`

// The kill comes no earlier than the longest deadline, 3 s at most, and 0.7 s after SIGTERM. By then all that was taken has its
// answer, also where its own time ends later, and servers that hang free none.
func TestAStopAnswersAllBeforeTheKill(t *testing.T) {
	for _, c := range []struct {
		deadline string
		remains  int
		kill     time.Duration
	}{{"4000000000", 3900, 3700 * time.Millisecond}, {"800000000", 800, 1500 * time.Millisecond}} {
		t.Run(c.deadline, func(t *testing.T) {
			t.Parallel()
			w, _ := runWith(t, strings.NewReplacer(`"Importance":1`, lateWorth, "4000000000", c.deadline, "2000000000", c.deadline).Replace(settingsText))
			w.hangs()
			ask := func(txn string) *client {
				cl := w.dial()
				io.WriteString(cl.nc, strings.Replace(post(txn, "abc"), "3900", fmt.Sprint(c.remains), 1))
				return cl
			}
			clients := []*client{ask("before")}
			time.Sleep(50 * time.Millisecond)
			at := time.Now()
			w.proc.Process.Signal(syscall.SIGTERM)
			for i := range 8 {
				time.Sleep(time.Until(at.Add(time.Duration(i) * 80 * time.Millisecond)))
				clients = append(clients, ask(fmt.Sprint("t", i)))
			}
			w.hold(least(150*time.Millisecond), func() {})
			got := make(chan map[int]int)
			go func() { got <- answered(clients) }()
			select {
			case count := <-got:
				// Failed; or refused, by the module or as read behind the 0.7 s in which requests are taken.
				if count[502]+count[429]+count[503] != len(clients) || count[502] == 0 {
					t.Errorf("answers by status %v, want 502, 429 or 503 for all", count)
				}
			case <-time.After(time.Until(at.Add(c.kill))):
				t.Error("not all are answered as the kill may come")
			}
			w.proc.Process.Kill()
		})
	}
}

// Connections that the machine has accepted and the process has not, as it stops listening, are served or refused.
func TestAStopAnswersTheBacklog(t *testing.T) {
	w, _ := run(t)
	w.answers()
	at := time.Now()
	w.proc.Process.Signal(syscall.SIGTERM)
	time.Sleep(time.Until(at.Add(350 * time.Millisecond)))
	var clients []*client
	w.hold(least(500*time.Millisecond), func() {
		for i := range 30 {
			c := w.dial()
			io.WriteString(c.nc, post(fmt.Sprint("t", i), "abc"))
			clients = append(clients, c)
		}
	})
	if count := answered(clients); count[0] > 0 {
		t.Errorf("answers by status %v, want none closed without one", count)
	}
	w.end(5 * time.Second)
}

// Silent connections, and clients that never finish a request, put off the end of the process no further than the kill.
func TestAStopEndsBesideClientsThatStay(t *testing.T) {
	w, _ := run(t)
	for i := range 10 {
		c := w.dial()
		if i%2 == 0 {
			io.WriteString(c.nc, post(fmt.Sprint("t", i), "abc")[:50])
		}
	}
	w.proc.Process.Signal(syscall.SIGTERM)
	go func() { // trickles on a connection that stays, and new ones as long as they are taken
		for range 40 {
			if nc, err := net.Dial("tcp", w.listen); err == nil {
				defer nc.Close()
				io.WriteString(nc, "POST /api HTTP/1.1\r\n")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	w.end(3700 * time.Millisecond)
}

// A process whose address another one still holds starts once it is free.
func TestAStartWaitsForItsAddress(t *testing.T) {
	w, _ := run(t)
	w.proc.Process.Kill()
	<-w.ended
	held, err := net.Listen("tcp", w.listen)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(500*time.Millisecond, func() { held.Close() })
	w.start()
	w.answer <- "a"
	if status, _ := w.dial().ask("t1"); status != 200 {
		t.Errorf("%d, want 200", status)
	}
}

// A stop that comes while the process starts, at whatever moment, ends it before the kill.
func TestAStopWhileTheProcessStarts(t *testing.T) {
	w, _ := run(t)
	w.proc.Process.Kill()
	<-w.ended
	for _, after := range []time.Duration{0, 2, 5, 10, 20, 40, 80} {
		w.spawn()
		time.Sleep(after * time.Millisecond)
		w.proc.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-w.ended:
			// Ended by the signal itself before the program's own code ran, or by its own stop.
			if end := new(exec.ExitError); err != nil && !(errors.As(err, &end) && end.Sys().(syscall.WaitStatus).Signal() == syscall.SIGTERM) {
				t.Errorf("a stop %v ms after the start: %v", int(after), err)
			}
		case <-time.After(3700 * time.Millisecond):
			t.Fatalf("a stop %v ms after the start: the process goes on", int(after))
		}
	}
}
