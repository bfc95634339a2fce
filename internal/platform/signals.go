package platform

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Signals receives the signals of the platform. Signals to stop and to reload have separate channels, so that
// many signals of one kind cannot crowd out the other kind. Signals that arrive while one of the same kind is
// pending are merged with it.
type Signals struct{ stop, reload chan os.Signal }

// Notify starts receiving signals. It must be called first in the process, because a signal that arrives
// earlier ends the process without a graceful shutdown. Notify makes the process ignore SIGPIPE, because it
// must not end when the reader of its log exits.
func Notify() Signals {
	signal.Ignore(syscall.SIGPIPE)
	s := Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// Wait handles signals until the gateway has stopped. SIGHUP reloads the configuration file; SIGTERM and
// SIGINT shut the gateway down gracefully. file is the path of the configuration file.
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
			if r.needsLoad(now) {
				g.reload(&r)
			}
		}
	}
}

// shutDown logs the status and shuts the gateway down gracefully.
func (g *Gateway) shutDown(terminatedAt time.Time) {
	g.log.Info("Shutting down, answering open requests")
	g.LogStatus()
	g.Drain(terminatedAt)
	g.log.Info("Gateway stopped")
}
