package websocket

import (
	"os"
	"path/filepath"
	"testing"
)

// TestStoredList loads a cached list of an earlier version, with a server that has just started, and saves it again:
// the bytes are the same. A key that is lost would start a gateway without its servers, or with a wrong age of them.
func TestStoredList(t *testing.T) {
	u, err := LoadList("testdata/list.json")
	if err != nil {
		t.Fatal(err)
	}
	started := 0
	for _, e := range u.Endpoints {
		if e.StartedMs > 0 {
			started++
		}
	}
	if u.Version != 4 || len(u.Endpoints) != 6 || started != 1 {
		t.Errorf("version %d with %d endpoints, %d of them started: want 4, 6, 1", u.Version, len(u.Endpoints), started)
	}
	file := filepath.Join(t.TempDir(), "list.json")
	if err := saveList(file, u); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/list.json")
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("saved again: %s, want %s", got, want)
	}
}
