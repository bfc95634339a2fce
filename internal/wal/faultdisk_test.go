package wal

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// faultDisk is a file system in memory that loses what was not synced in a crash, and fails as set.
type faultDisk struct {
	mu             sync.Mutex
	files          map[string]*content
	durableNames   map[string]*content // that a crash leaves
	spaceLeft      int                 // bytes; -1: no bound
	operationsLeft int                 // until the process is killed; -1: it is not
	failSync       bool
	ignoreSync     bool // planted fault: a sync does nothing and reports success
}

type content struct {
	data   []byte
	synced int
}

func newFaultDisk() *faultDisk {
	return &faultDisk{files: map[string]*content{}, durableNames: map[string]*content{}, spaceLeft: -1, operationsLeft: -1}
}

// ended counts an operation and reports whether the process was killed before it; mu is held.
func (d *faultDisk) ended() bool {
	if d.operationsLeft > 0 {
		d.operationsLeft--
		return false
	}
	return d.operationsLeft == 0
}

type openFile struct {
	d *faultDisk
	c *content
}

func (d *faultDisk) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] != nil {
		return nil, os.ErrExist
	}
	if d.spaceLeft == 0 || d.ended() {
		return nil, syscall.ENOSPC
	}
	c := &content{}
	d.files[name] = c
	return &openFile{d, c}, nil
}

func (h *openFile) Write(b []byte) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.ended() {
		return 0, syscall.EIO
	}
	n := len(b)
	var err error
	if h.d.spaceLeft >= 0 && n > h.d.spaceLeft {
		n, err = h.d.spaceLeft, syscall.ENOSPC // a short write
	}
	if h.d.spaceLeft >= 0 {
		h.d.spaceLeft -= n
	}
	h.c.data = append(h.c.data, b[:n]...)
	return n, err
}

func (h *openFile) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.failSync || h.d.ended() {
		return syscall.EIO
	}
	if !h.d.ignoreSync {
		h.c.synced = len(h.c.data)
	}
	return nil
}

func (h *openFile) Close() error { return nil }

type reader struct{ *bytes.Reader }

func (reader) Close() error { return nil }

func (d *faultDisk) Open(name string) (io.ReadSeekCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.files[name]
	if c == nil {
		return nil, os.ErrNotExist
	}
	return reader{bytes.NewReader(slices.Clone(c.data))}, nil
}

func (d *faultDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended() {
		return syscall.EIO
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *faultDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return os.ErrNotExist
	}
	if d.ended() {
		return syscall.EIO
	}
	delete(d.files, name)
	return nil
}

func (d *faultDisk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended() {
		return syscall.EIO
	}
	clear(d.durableNames)
	for k, v := range d.files {
		d.durableNames[k] = v
	}
	return nil
}

type dirEntry struct {
	name string
	size int64
}

func (e dirEntry) Name() string               { return e.name }
func (e dirEntry) IsDir() bool                { return false }
func (e dirEntry) Type() os.FileMode          { return 0 }
func (e dirEntry) Info() (os.FileInfo, error) { return e, nil }
func (e dirEntry) Size() int64                { return e.size }
func (e dirEntry) Mode() os.FileMode          { return 0 }
func (e dirEntry) ModTime() time.Time         { return time.Time{} }
func (e dirEntry) Sys() any                   { return nil }

func (d *faultDisk) List(string) (out []os.DirEntry, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range d.files {
		out = append(out, dirEntry{filepath.Base(k), int64(len(v.data))})
	}
	return out, nil
}

// crash is what a crash of the machine leaves: the synced bytes of synced names, and up to tail bytes more of each
// file.
func (d *faultDisk) crash(tail int) *faultDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := newFaultDisk()
	for k, c := range d.durableNames {
		n := min(len(c.data), c.synced+tail)
		v := &content{slices.Clone(c.data[:n]), n}
		out.files[k], out.durableNames[k] = v, v
	}
	return out
}
