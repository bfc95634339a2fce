package websocket

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// saveList replaces a cache file in one step: a crash leaves the old list or the new one, never a part.
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

// writeTemporary writes and syncs a new file in a directory. The name is empty if none was created.
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

// LoadList reads a file that saveList wrote and checks it. The error is os.ErrNotExist if there is none.
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
