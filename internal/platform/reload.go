package platform

import (
	"errors"
	"io/fs"
	"os"
	"time"
)

const (
	reloadPollInterval = 100 * time.Millisecond // interval between two checks of the file
	reloadWindow       = 4 * time.Second        // time after a signal in which changes of the file are loaded
)

// reload loads the configuration file and switches to its discovery address, which is the only field that is
// reloaded. If the file is invalid or cannot be read, nothing changes.
func (g *Gateway) reload(r *reloader) {
	c, err := r.load()
	if err != nil {
		g.log.Error("New configuration cannot be used, keeping the old one", "err", err)
		return
	}
	g.SetDiscovery(c.Discovery)
}

// reloader decides when to load the configuration file again. The file may still be written when the signal
// to reload it arrives, or only after that. It is therefore loaded again whenever it has changed, for
// reloadWindow after each signal and for as long as the last load has failed.
type reloader struct {
	file           string
	windowEnd      time.Time // end of reloadWindow after the last signal
	lastLoadFailed bool

	// Attributes of the file at the last load.
	modTime time.Time
	size    int64 // -1 if the file could not be read
}

// signaled starts reloadWindow.
func (r *reloader) signaled(now time.Time) { r.windowEnd = now.Add(reloadWindow) }

// needsLoad reports whether the file must be loaded again.
func (r *reloader) needsLoad(now time.Time) bool {
	if !r.lastLoadFailed && now.After(r.windowEnd) {
		return false
	}
	info, err := os.Stat(r.file)
	return err == nil && (info.Size() != r.size || !info.ModTime().Equal(r.modTime))
}

// load loads the file and records its attributes for needsLoad.
func (r *reloader) load() (*Config, error) {
	r.size, r.modTime = 0, time.Time{}
	// The attributes are taken before the file is read, so that a write after the read is found as a change.
	if info, err := os.Stat(r.file); err == nil {
		r.size, r.modTime = info.Size(), info.ModTime()
	}
	c, err := Load(r.file)
	r.lastLoadFailed = err != nil
	// The file was not read, because no descriptor was free or the file is being replaced. A size of -1 makes
	// the next check find a change.
	if pathErr := new(fs.PathError); errors.As(err, &pathErr) {
		r.size = -1
	}
	return c, err
}
