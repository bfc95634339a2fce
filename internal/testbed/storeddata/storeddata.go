// Package storeddata reads what earlier versions of the program wrote, for the tests that hold it readable.
package storeddata

import (
	"bufio"
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
