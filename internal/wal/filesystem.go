package wal

import (
	"io"
	"os"
)

// FS is what the log needs of a file system. Tests put one in its place that fails.
type FS interface {
	Create(name string) (File, error) // for writing; the file must not exist
	Open(name string) (io.ReadSeekCloser, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error // makes the names in a directory durable
	List(dir string) ([]os.DirEntry, error)
}

// File is a file being written.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Disk is the real file system.
type Disk struct{}

// Create opens a new file for writing.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Open opens a file for reading.
func (Disk) Open(name string) (io.ReadSeekCloser, error) { return os.Open(name) }

// Rename renames a file.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (Disk) Remove(name string) error { return os.Remove(name) }

// List lists a directory.
func (Disk) List(dir string) ([]os.DirEntry, error) { return os.ReadDir(dir) }

// SyncDir makes the names in a directory durable.
func (Disk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// createFile writes a file under another name, syncs it and then gives it its name, so that after a crash the file has
// all of its content or does not exist. It stays open.
func createFile(fs FS, dir, path string, content []byte) (File, error) {
	temporary := path + ".new"
	fs.Remove(temporary) // left by a crash
	f, err := fs.Create(temporary)
	if err != nil {
		return nil, err
	}
	err = writeAll(f, content)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = fs.Rename(temporary, path)
	}
	if err == nil {
		err = fs.SyncDir(dir)
	}
	if err != nil {
		f.Close()
		fs.Remove(temporary)
		return nil, err
	}
	return f, nil
}

func writeAll(f File, b []byte) error {
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		return io.ErrShortWrite
	}
	return err
}
