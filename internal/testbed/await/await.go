// Package await lets tests wait for a condition instead of for a time.
package await

import (
	"testing"
	"time"
)

// Until returns once f holds, and fails the test if it does not within half a minute.
func Until(t testing.TB, what string, f func() bool) {
	t.Helper()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("never: " + what)
}
