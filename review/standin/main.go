// Command standin plays one case of the review: it starts a small deployment, whose gateways are processes
// started with the run command of the deploy file, plays its clients, servers and discovery, and checks one
// rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// cases has the cases by name. A case returns how often the rule was broken.
var cases = map[string]func(p *play) (broken int, err error){
	"customers": playCustomers,
}

// play is what a case gets.
type play struct {
	root    string
	rec     *record
	trouble bool // false: without the disruption

	answered atomic.Int64 // requests of usual clients that were answered

	mu   sync.Mutex
	open *deployment // set as soon as there is something to end
}

// deploy starts the deployment, which ends with the case.
func (p *play) deploy(sh shape, work workFunc) (*deployment, error) {
	d := &deployment{root: p.root, rec: p.rec, shape: sh}
	p.mu.Lock()
	p.open = d
	p.mu.Unlock()
	return d, d.start(work)
}

// end ends what the case has started.
func (p *play) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open != nil {
		p.open.close()
	}
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return 2
	}
	playCase := cases[os.Args[1]]
	if playCase == nil {
		fmt.Fprintf(os.Stderr, "standin: no case %q\n", os.Args[1])
		return 2
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer rec.close()
	p := &play{root: os.Args[2], rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := playCase(p)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	r := result{err: fmt.Errorf("not done after %v", limit)}
	select {
	case r = <-done:
	case s := <-signals:
		r.err = fmt.Errorf("ended by the signal %v", s)
	case <-time.After(limit):
	}
	p.end()
	switch {
	case r.err != nil:
		rec.say("the case could not run: %v", r.err)
		return 2
	case r.broken > 0:
		rec.say("the rule was broken %d times", r.broken)
		return 1
	}
	rec.say("the rule held")
	return 0
}

// always returns a workFunc of servers that need the same time for each request.
func always(work time.Duration) workFunc { return func(*http.Request) time.Duration { return work } }
