package websocket

import (
	"os"
	"path/filepath"
	"testing"
)

// TestCacheSaveAndLoad guards against a gateway that starts without its servers or with a part of them,
// because a saved list is not loaded as it was, a truncated file is loaded without an error, or a failed save
// goes unnoticed.
func TestCacheSaveAndLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list.json")
	u := Update{Version: 7, Endpoints: []Endpoint{endpoint("h:1", "serving", 3)}}
	if err := saveList(file, u); err != nil {
		t.Fatal(err)
	}
	if got, err := LoadList(file); err != nil || got.Version != 7 || got.Endpoints[0] != u.Endpoints[0] {
		t.Errorf("loaded %+v with error %v, want the list that was saved", got, err)
	}
	raw, _ := os.ReadFile(file)
	os.WriteFile(file, raw[:len(raw)/2], 0o600)
	if _, err := LoadList(file); err == nil {
		t.Error("a truncated file was loaded without an error")
	}
	if err := saveList(filepath.Join(file, "no", "folder"), u); err == nil {
		t.Error("a list was saved without an error in a directory that does not exist")
	}
}
