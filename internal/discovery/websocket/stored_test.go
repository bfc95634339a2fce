package websocket

import (
	"os"
	"path/filepath"
	"testing"
)

// TestCacheFormatIsStable guards against a change of the format of the cache file: a gateway that is started
// after an update would have no servers, or wrong start times of them. It loads a file that an earlier
// version of the gateway wrote, which has a server that has just started, and saves it again; the bytes must
// be the same.
func TestCacheFormatIsStable(t *testing.T) {
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
		t.Errorf("version %d with %d endpoints, %d of them with a start time, want 4, 6 and 1",
			u.Version, len(u.Endpoints), started)
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
		t.Errorf("saved the list as %s, want %s", got, want)
	}
}
