// Command review-2 holds the stand-ins and the judges of the review cases 6 to 10. Each case has a sub-command
// of the same name. It starts the project's own programs as separate processes, plays clients, servers and the
// platform, judges what these saw and ends all processes that it started.
//
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases maps sub-commands to cases. A case returns the violations that it saw.
var cases = map[string]func(*run) ([]string, error){}

// run is one run of a case.
type run struct {
	trouble bool   // whether the disruption takes place
	root    string // root of the repository
	dir     string // temporary folder
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	procs    []*proc
	ended    bool // no further process is started
	cleanups []func()
}

// logf writes a line to the record, with the time since the start in seconds.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.record, format+"\n", args...)
}

// line writes a line without a time to the record, for cases with many.
func (r *run) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, format+"\n", args...)
}

// atEnd registers a function that runs when the case ends.
func (r *run) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

// end ends all processes and removes the temporary folder.
func (r *run) end() {
	r.mu.Lock()
	procs, cleanups := r.procs, r.cleanups
	r.ended = true
	r.procs, r.cleanups = nil, nil
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	for _, f := range cleanups {
		f()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.dir)
	}
}

func main() {
	os.Exit(realMain())
}

func realMain() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, start: time.Now(), record: record}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.end()
		os.Exit(2)
	}()
	r.logf("case %s, trouble %t", os.Args[1], r.trouble)
	violations, err := cases[os.Args[1]](r)
	r.end()
	for _, v := range violations {
		r.logf("BROKEN %s", v)
	}
	switch {
	case err != nil:
		r.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(violations) > 0:
		r.logf("result: broken, %d violations", len(violations))
		fmt.Printf("broken, %d violations, the first: %s\n", len(violations), violations[0])
		return 1
	}
	r.logf("result: held")
	fmt.Println("held")
	return 0
}

// deployCommand returns a command of the deploy file, for example "run".
func (r *run) deployCommand(name string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		key, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(key) == name {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no %q", name)
}
