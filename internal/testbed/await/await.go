// Package await lets tests wait for a condition instead of a fixed time.
package await

import (
	"testing"
	"time"
)

const (
	timeout  = 30 * time.Second     // longest wait for a condition
	interval = 2 * time.Millisecond // time between two evaluations of a condition
)

// Until returns once condition returns true. It fails the test if that does not happen within 30 s. name
// describes the condition in the failure message.
func Until(t testing.TB, name string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(interval) {
		if condition() {
			return
		}
	}
	t.Fatal("await: timed out waiting for: " + name)
}
