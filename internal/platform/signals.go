package platform

import (
	"errors"
	"io/fs"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	reloadPollInterval = 100 * time.Millisecond // a file that is being written is looked at so often ...
	reloadWindow       = 4 * time.Second        // ... for so long behind a signal, and until it can be used
)

// Signals are the platform's. Each kind has a channel of its own, so that none can crowd out the other; one that waits stands
// for any number.
type Signals struct{ stop, reload chan os.Signal }

// Notify relays the process's signals from now on. A log that nobody reads any more does not end the process.
func Notify() Signals {
	signal.Ignore(syscall.SIGPIPE)
	s := Signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// Wait follows the platform's signals until the gateway has stopped: SIGHUP reads the configuration anew, SIGTERM and
// SIGINT let it finish what is open.
func (g *Gateway) Wait(file string, s Signals) {
	r := reloader{file: file}
	look := time.NewTicker(reloadPollInterval)
	defer look.Stop()
	for {
		select {
		case <-s.stop:
			g.shutDown(time.Now())
			return
		case <-s.reload:
			r.signaled(time.Now())
			g.reload(&r)
		case now := <-look.C:
			if r.due(now) {
				g.reload(&r)
			}
		}
	}
}

func (g *Gateway) shutDown(told time.Time) {
	g.log.Info("stops: answers what is open")
	g.LogStatus()
	g.Drain(told)
	g.log.Info("stopped")
}

// reload follows the configuration's discovery, if the file can be used.
func (g *Gateway) reload(r *reloader) {
	c, err := r.load()
	if err != nil {
		g.log.Error("the new configuration can't be used, the old one stays until it can", "err", err)
		return
	}
	g.SetDiscovery(c.Discovery)
}

// reloader reads a file that may be written while, or after, its signal comes: until it can be used, and for a while behind
// each signal, it is read again whenever it has changed.
type reloader struct {
	file    string
	until   time.Time
	failed  bool
	modTime time.Time // as of the last read
	size    int64
}

func (r *reloader) signaled(now time.Time) { r.until = now.Add(reloadWindow) }

// due reports whether the file is to be read again.
func (r *reloader) due(now time.Time) bool {
	if !r.failed && now.After(r.until) {
		return false
	}
	f, err := os.Stat(r.file)
	return err == nil && (f.Size() != r.size || !f.ModTime().Equal(r.modTime))
}

func (r *reloader) load() (*Config, error) {
	r.size, r.modTime = 0, time.Time{}
	if f, err := os.Stat(r.file); err == nil { // ahead of the read: what is written behind it is seen as a change
		r.size, r.modTime = f.Size(), f.ModTime()
	}
	c, err := Load(r.file)
	r.failed = err != nil
	if unread := new(fs.PathError); errors.As(err, &unread) { // no descriptor, or it is being replaced: nothing was read
		r.size = -1
	}
	return c, err
}
