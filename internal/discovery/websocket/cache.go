package websocket

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// saveList atomically replaces the cache file by a new list. A crash leaves either the old list or the new
// one in the file, never a part of a list.
func saveList(file string, u Update) error {
	raw, err := json.Marshal(u)
	if err != nil {
		return err
	}
	temporary, err := writeTemporary(filepath.Dir(file), append(raw, '\n'))
	if err == nil {
		err = os.Rename(temporary, file)
	}
	if err != nil && temporary != "" {
		os.Remove(temporary)
	}
	return err
}

// writeTemporary creates a file with the data in a directory, syncs it to disk and returns its name. If an
// error occurs after the file was created, it returns the name as well; otherwise the name is empty.
func writeTemporary(dir string, data []byte) (name string, err error) {
	f, err := os.CreateTemp(dir, ".list-*")
	if err != nil {
		return "", err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return f.Name(), err
}

// LoadList reads and validates the list in a cache file. If there is no file, the error wraps os.ErrNotExist.
func LoadList(file string) (Update, error) {
	var u Update
	raw, err := os.ReadFile(file)
	if err != nil {
		return u, err
	}
	if err := json.Unmarshal(raw, &u); err != nil {
		return u, fmt.Errorf("discovery: %s: %w", file, err)
	}
	if err := u.Validate(); err != nil {
		return u, fmt.Errorf("%s: %w", file, err)
	}
	return u, nil
}
