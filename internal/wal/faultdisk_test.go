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

// faultDisk is an in-memory FS for fault injection. A simulated crash loses data that was not synced, and
// operations fail as configured.
type faultDisk struct {
	mu             sync.Mutex
	files          map[string]*content
	durableNames   map[string]*content // files whose names survive a crash
	spaceLeft      int                 // free space in bytes; -1 means unlimited
	operationsLeft int                 // operations before the process is killed; -1 means unlimited
	failSync       bool                // Sync fails
	ignoreSync     bool                // injected fault: Sync reports success but does nothing
}

// content is the content of a file.
type content struct {
	data   []byte
	synced int // length of the synced prefix of data
}

// newFaultDisk returns an empty file system without faults.
func newFaultDisk() *faultDisk {
	return &faultDisk{files: map[string]*content{}, durableNames: map[string]*content{}, spaceLeft: -1,
		operationsLeft: -1}
}

// killed counts an operation and reports whether the process was killed before it. The caller holds mu.
func (d *faultDisk) killed() bool {
	if d.operationsLeft > 0 {
		d.operationsLeft--
		return false
	}
	return d.operationsLeft == 0
}

// openFile is a File of a faultDisk.
type openFile struct {
	disk    *faultDisk
	content *content
}

func (d *faultDisk) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] != nil {
		return nil, os.ErrExist
	}
	if d.spaceLeft == 0 || d.killed() {
		return nil, syscall.ENOSPC
	}
	c := &content{}
	d.files[name] = c
	return &openFile{d, c}, nil
}

func (f *openFile) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.killed() {
		return 0, syscall.EIO
	}
	n := len(b)
	var err error
	if f.disk.spaceLeft >= 0 && n > f.disk.spaceLeft {
		n, err = f.disk.spaceLeft, syscall.ENOSPC // a short write
	}
	if f.disk.spaceLeft >= 0 {
		f.disk.spaceLeft -= n
	}
	f.content.data = append(f.content.data, b[:n]...)
	return n, err
}

func (f *openFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failSync || f.disk.killed() {
		return syscall.EIO
	}
	if !f.disk.ignoreSync {
		f.content.synced = len(f.content.data)
	}
	return nil
}

func (f *openFile) Close() error { return nil }

// reader is a file open for reading.
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
	if d.killed() {
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
	if d.killed() {
		return syscall.EIO
	}
	delete(d.files, name)
	return nil
}

func (d *faultDisk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.killed() {
		return syscall.EIO
	}
	clear(d.durableNames)
	for name, c := range d.files {
		d.durableNames[name] = c
	}
	return nil
}

// dirEntry is the os.DirEntry and the os.FileInfo of a file.
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

func (d *faultDisk) List(string) (entries []os.DirEntry, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, c := range d.files {
		entries = append(entries, dirEntry{filepath.Base(name), int64(len(c.data))})
	}
	return entries, nil
}

// crash returns the file system as a crash of the machine leaves it: of each file whose name was synced, the
// synced bytes and up to tail more bytes.
func (d *faultDisk) crash(tail int) *faultDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := newFaultDisk()
	for name, c := range d.durableNames {
		n := min(len(c.data), c.synced+tail)
		kept := &content{slices.Clone(c.data[:n]), n}
		after.files[name], after.durableNames[name] = kept, kept
	}
	return after
}
