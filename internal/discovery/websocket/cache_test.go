package websocket

import (
	"os"
	"path/filepath"
	"testing"
)

// TestKept saves a list and loads it again, then truncates the file, then saves to a folder that is none.
func TestKept(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list.json")
	u := Update{Version: 7, Endpoints: []Endpoint{endpoint("h:1", "serving", 3)}}
	if err := saveList(file, u); err != nil {
		t.Fatal(err)
	}
	if back, err := LoadList(file); err != nil || back.Version != 7 || back.Endpoints[0] != u.Endpoints[0] {
		t.Errorf("%+v, %v", back, err)
	}
	raw, _ := os.ReadFile(file)
	os.WriteFile(file, raw[:len(raw)/2], 0o600)
	if _, err := LoadList(file); err == nil {
		t.Error("a truncated file was loaded")
	}
	if err := saveList(filepath.Join(file, "no", "folder"), u); err == nil {
		t.Error("a list was saved into a file")
	}
}
