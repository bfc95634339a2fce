// Package storeddata reads test data written by earlier versions of the program, for tests that check that
// the current version still reads it.
package storeddata

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
)

// maxLineBytes bounds the length of a line of stored data.
const maxLineBytes = 1 << 20

// ReadLines returns the lines of a file, except comment lines, which begin with #. It fails the test if the
// file cannot be read.
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

// CheckTranscripts checks that the code still produces the transcripts that an earlier version stored in a
// file. Each line of the file holds a seed, the number of recorded entries and their hash in hexadecimal.
// transcript runs the random history of a seed and returns the number of entries (actions or messages,
// depending on the package) and their hash. The test fails if the file has no lines.
func CheckTranscripts(t testing.TB, path string, transcript func(seed int64) (recorded int, hash uint64)) {
	t.Helper()
	lines := ReadLines(t, path)
	if len(lines) == 0 {
		t.Errorf("%s: no stored transcripts, want at least one", path)
	}
	for _, line := range lines {
		var seed int64
		var wantRecorded int
		var wantHash uint64
		if _, err := fmt.Sscanf(line, "%d %d %x", &seed, &wantRecorded, &wantHash); err != nil {
			t.Fatalf("%s: line %q, want a seed, a number of entries and a hash: %v", path, line, err)
		}
		if recorded, hash := transcript(seed); recorded != wantRecorded || hash != wantHash {
			t.Errorf("%s: seed %d: got %d entries with hash %x, want the stored %d entries with hash %x",
				path, seed, recorded, hash, wantRecorded, wantHash)
		}
	}
}
