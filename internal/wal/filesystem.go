package wal

import (
	"io"
	"os"
)

// FS provides the file operations that a log needs. Tests substitute an implementation that injects failures.
type FS interface {
	Create(name string) (File, error) // opens a new file for writing; fails if the file exists
	Open(name string) (io.ReadSeekCloser, error)
	Rename(from, to string) error // replaces an existing file
	Remove(name string) error
	SyncDir(dir string) error // makes the names in a directory durable
	List(dir string) ([]os.DirEntry, error)
}

// File is a file that is open for writing.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Disk is the FS of the operating system.
type Disk struct{}

// Create creates a file and opens it for writing. It fails if the file exists.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Open opens a file for reading.
func (Disk) Open(name string) (io.ReadSeekCloser, error) { return os.Open(name) }

// Rename renames a file. It replaces an existing file with the new name.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (Disk) Remove(name string) error { return os.Remove(name) }

// List returns the entries of a directory, sorted by name.
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

// createFile writes content to a temporary file, syncs it and renames it to path, so that a crash never
// leaves an incomplete file at path. It replaces an existing file and returns the new one, open for writing.
func createFile(fs FS, dir, path string, content []byte) (File, error) {
	temporary := path + ".new"
	fs.Remove(temporary) // may be left over from a crash
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

// writeAll writes b and returns io.ErrShortWrite if only a part of it was written.
func writeAll(f File, b []byte) error {
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		return io.ErrShortWrite
	}
	return err
}
