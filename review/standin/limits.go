package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// anonymousKB returns the memory of a process that no file backs, in KiB. The program's own file and shared
// libraries are not counted, nor are the buffers of its sockets.
func anonymousKB(pid int) (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			return strconv.Atoi(fields[1])
		}
	}
	return 0, errors.New("no RssAnon in the status of the process")
}

// watch is the platform's watch on the gateways: it kills one that goes over its memory limit. It returns the
// number of crashed gateways, at the first crash or after the given time.
func (d *deployment) watch(length time.Duration) (crashed int, err error) {
	start, said := time.Now(), time.Duration(0)
	limitKB := d.shape.memoryMB << 10
	most := make([]int, len(d.gateways))
	for time.Since(start) < length {
		time.Sleep(20 * time.Millisecond)
		for i, g := range d.gateways {
			kb, err := anonymousKB(g.cmd.Process.Pid)
			if g.hasExited() {
				d.rec.say("gateway n%d ended by itself", i)
				return 1, nil
			}
			if err != nil {
				return 0, err
			}
			most[i] = max(most[i], kb)
			if kb > limitKB {
				d.rec.say("gateway n%d holds %d KiB after %.1f s, over its limit of %d MB (%d KiB): the platform kills it",
					i, kb, time.Since(start).Seconds(), d.shape.memoryMB, limitKB)
				g.cmd.Process.Kill()
				return 1, nil
			}
		}
		if now := time.Since(start); now-said >= 5*time.Second {
			said = now
			d.rec.say("after %.0f s: most memory up to now, by gateway, in KiB: %v", now.Seconds(), most)
		}
	}
	d.rec.say("most memory, by gateway, in KiB: %v of %d", most, limitKB)
	return 0, nil
}
