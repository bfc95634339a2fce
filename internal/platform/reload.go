package platform

import (
	"errors"
	"io/fs"
	"os"
	"time"
)

const (
	reloadPollInterval = 100 * time.Millisecond // between two checks of the file
	reloadWindow       = 4 * time.Second        // for so long after a signal a change of the file is followed
)

// reload reads the configuration file and follows its discovery address, the only field that is reloaded. A file that
// cannot be used changes nothing.
func (g *Gateway) reload(r *reloader) {
	c, err := r.load()
	if err != nil {
		g.log.Error("New configuration cannot be used, keeping the old one", "err", err)
		return
	}
	g.SetDiscovery(c.Discovery)
}

// reloader decides when the configuration file is read again. The file may be written while its signal comes, or
// after: until it can be used, and for reloadWindow after each signal, it is read again whenever it has changed.
type reloader struct {
	file   string
	until  time.Time // the window's end
	failed bool      // the file could not be used

	// The file as of the last read.
	modTime time.Time
	size    int64
}

func (r *reloader) signaled(now time.Time) { r.until = now.Add(reloadWindow) }

// due reports whether the file is to be read again.
func (r *reloader) due(now time.Time) bool {
	if !r.failed && now.After(r.until) {
		return false
	}
	info, err := os.Stat(r.file)
	return err == nil && (info.Size() != r.size || !info.ModTime().Equal(r.modTime))
}

func (r *reloader) load() (*Config, error) {
	r.size, r.modTime = 0, time.Time{}
	// Before the read, so that what is written after it shows as a change.
	if info, err := os.Stat(r.file); err == nil {
		r.size, r.modTime = info.Size(), info.ModTime()
	}
	c, err := Load(r.file)
	r.failed = err != nil
	// No descriptor was free, or the file is being replaced: nothing was read, so the next check has to find a change.
	if unread := new(fs.PathError); errors.As(err, &unread) {
		r.size = -1
	}
	return c, err
}
