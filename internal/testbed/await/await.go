// Package await lets tests wait for a condition instead of for a time.
package await

import (
	"testing"
	"time"
)

const (
	timeout  = 30 * time.Second
	interval = 2 * time.Millisecond // between two evaluations of a condition
)

// Until returns once the condition holds, and fails the test if it does not within the timeout. name is the condition
// in words.
func Until(t testing.TB, name string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(interval) {
		if condition() {
			return
		}
	}
	t.Fatal("never: " + name)
}
