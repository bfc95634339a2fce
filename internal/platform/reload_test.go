package platform

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against reloads that stop the gateway or have no effect. An operator writes an invalid
// configuration, then one with a discovery address that refuses connections, then a valid one with several
// SIGHUPs. The gateway must continue to serve and use the last configuration.
func TestReload(t *testing.T) {
	g, _ := startGateway(t)
	if err := os.WriteFile(g.configPath, []byte(`{"listen":"x"`), 0o600); err != nil {
		t.Fatal(err)
	}
	g.signal(syscall.SIGHUP)
	g.waitUntil("the invalid configuration is logged", func() bool {
		return g.logContains("New configuration cannot be used")
	})
	g.writeConfig("127.0.0.1:1")
	g.signal(syscall.SIGHUP)
	g.waitUntil("the failure of the discovery address is logged", func() bool {
		return g.logContains("Endpoint list cannot be followed")
	})
	queries := make(chan string, 1000)
	g.writeConfig(startDiscovery(t, g.serverAddr, queries))
	for range 3 {
		g.signal(syscall.SIGHUP)
	}
	select {
	case <-queries:
	case <-time.After(20 * time.Second):
		t.Fatal("no query at the new discovery address within 20 s")
	}
	g.responses <- "still here"
	if status, body := g.request("GET /api", requestFields("t1", "get", "team")); status != 200 ||
		body != "still here" {
		t.Errorf("got status %d and body %q, want 200 and still here", status, body)
	}
}

// Guards against a configuration that is never used because it was only partly written when SIGHUP arrived.
// It must be used as soon as it is complete, without another signal. SIGTERM must have its effect even while
// the configuration is incomplete.
func TestConfigurationCompletedAfterSIGHUP(t *testing.T) {
	g, _ := startGateway(t)
	queries := make(chan string, 1000)
	next := startDiscovery(t, g.serverAddr, queries)
	g.writeConfig(next)
	complete, err := os.ReadFile(g.configPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, wait := range []time.Duration{50 * time.Millisecond, 1500 * time.Millisecond} {
		for len(queries) > 0 {
			<-queries
		}
		g.writeConfig("127.0.0.1:1")
		g.signal(syscall.SIGHUP)
		g.waitUntil("the unreachable discovery address is used", func() bool {
			return g.logContains("to=127.0.0.1:1")
		})
		os.WriteFile(g.configPath, complete[:len(complete)/2], 0o600)
		g.signal(syscall.SIGHUP)
		time.Sleep(wait)
		os.WriteFile(g.configPath, complete, 0o600)
		select {
		case <-queries:
		case <-time.After(2 * time.Second):
			t.Fatalf("configuration completed after %v: no query at the new discovery address", wait)
		}
	}
	os.WriteFile(g.configPath, complete[:len(complete)/2], 0o600)
	g.signal(syscall.SIGHUP)
	g.signal(syscall.SIGTERM)
	g.expectExit(5 * time.Second)
}

// Guards against a SIGTERM that is lost among many SIGHUPs.
func TestSIGTERMAmongManySIGHUPs(t *testing.T) {
	g, _ := startGateway(t)
	g.suspend(50*time.Millisecond, func() {
		for range 500 {
			g.signal(syscall.SIGHUP)
		}
	})
	for range 500 {
		g.signal(syscall.SIGHUP)
	}
	g.signal(syscall.SIGTERM)
	for range 500 {
		g.signal(syscall.SIGHUP)
	}
	g.expectExit(5 * time.Second)
}
