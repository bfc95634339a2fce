// Package storeddata reads what earlier versions of the program wrote, for the tests that hold it readable.
package storeddata

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
)

// maxLineBytes bounds a line of stored data.
const maxLineBytes = 1 << 20

// ReadLines returns the lines of a file but those that begin with #.
func ReadLines(t testing.TB, path string) (lines []string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line := scanner.Text(); !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	return lines
}

// CheckTranscripts plays each random history of a file again. transcript plays that of a seed and returns how many
// things were recorded (actions or messages, as its package has them) and a hash of them; a line of the file has the
// seed and both as an earlier version played it. There must be at least one line.
func CheckTranscripts(t testing.TB, path string, transcript func(seed int64) (recorded int, hash uint64)) {
	t.Helper()
	lines := ReadLines(t, path)
	if len(lines) == 0 {
		t.Error("no transcript is stored")
	}
	for _, line := range lines {
		var seed int64
		var wantRecorded int
		var wantHash uint64
		if _, err := fmt.Sscanf(line, "%d %d %x", &seed, &wantRecorded, &wantHash); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		if recorded, hash := transcript(seed); recorded != wantRecorded || hash != wantHash {
			t.Errorf("seed %d: %d recorded, of hash %x; stored are %d, of %x", seed, recorded, hash, wantRecorded, wantHash)
		}
	}
}
