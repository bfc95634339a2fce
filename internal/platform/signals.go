package platform

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Signals are the platform's. Each kind has a channel of its own, so that a series of one cannot crowd out the other;
// signals of one kind that come while one waits are one.
type Signals struct{ stop, reload chan os.Signal }

// Notify receives the process's signals from now on. It has to come first in the process, or a signal may end it
// without a graceful shutdown. SIGPIPE is ignored: a log whose reader has exited must not end the process.
func Notify() Signals {
	signal.Ignore(syscall.SIGPIPE)
	s := Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// Wait follows signals until the gateway has stopped: SIGHUP reads the configuration file again, SIGTERM and SIGINT
// shut down gracefully.
func (g *Gateway) Wait(file string, s Signals) {
	r := reloader{file: file}
	poll := time.NewTicker(reloadPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-s.stop:
			g.shutDown(time.Now())
			return
		case <-s.reload:
			r.signaled(time.Now())
			g.reload(&r)
		case now := <-poll.C:
			if r.due(now) {
				g.reload(&r)
			}
		}
	}
}

func (g *Gateway) shutDown(terminated time.Time) {
	g.log.Info("Shutting down, answering open requests")
	g.LogStatus()
	g.Drain(terminated)
	g.log.Info("Gateway stopped")
}
