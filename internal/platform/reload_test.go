package platform

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// An operator writes a broken configuration, then one with a dead address, then a good one with several
// SIGHUPs. The gateway serves on and follows the last one.
func TestReload(t *testing.T) {
	g, _ := startGateway(t)
	if err := os.WriteFile(g.configPath, []byte(`{"listen":"x"`), 0o600); err != nil {
		t.Fatal(err)
	}
	g.signal(syscall.SIGHUP)
	g.waitUntil("the bad file is logged", func() bool { return g.logContains("New configuration cannot be used") })
	g.writeConfig("127.0.0.1:1")
	g.signal(syscall.SIGHUP)
	g.waitUntil("the dead address is tried", func() bool { return g.logContains("Endpoint list cannot be followed") })
	queries := make(chan string, 1000)
	g.writeConfig(startDiscovery(t, g.serverAddr, queries))
	for range 3 {
		g.signal(syscall.SIGHUP)
	}
	select {
	case <-queries:
	case <-time.After(20 * time.Second):
		t.Fatal("the new list is not asked")
	}
	g.responses <- "still here"
	if status, body := g.request("GET /api", requestFields("t1", "get", "team")); status != 200 || body != "still here" {
		t.Errorf("%d %q, want 200", status, body)
	}
}

// The configuration was half written when its signal came, and was never followed. It has to be followed once
// it is complete, without another signal, and SIGTERM works meanwhile.
func TestAConfigurationThatIsWholeAfterItsSignal(t *testing.T) {
	g, _ := startGateway(t)
	queries := make(chan string, 1000)
	next := startDiscovery(t, g.serverAddr, queries)
	g.writeConfig(next)
	whole, err := os.ReadFile(g.configPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, wait := range []time.Duration{50 * time.Millisecond, 1500 * time.Millisecond} {
		for len(queries) > 0 {
			<-queries
		}
		g.writeConfig("127.0.0.1:1")
		g.signal(syscall.SIGHUP)
		g.waitUntil("the dead address is followed", func() bool { return g.logContains("to=127.0.0.1:1") })
		os.WriteFile(g.configPath, whole[:len(whole)/2], 0o600)
		g.signal(syscall.SIGHUP)
		time.Sleep(wait)
		os.WriteFile(g.configPath, whole, 0o600)
		select {
		case <-queries:
		case <-time.After(2 * time.Second):
			t.Fatalf("whole after %v: the new list is not asked", wait)
		}
	}
	os.WriteFile(g.configPath, whole[:len(whole)/2], 0o600)
	g.signal(syscall.SIGHUP)
	g.signal(syscall.SIGTERM)
	g.expectExit(5 * time.Second)
}

// A series of SIGHUPs must not hide a SIGTERM among them.
func TestAStopBehindManyConfigurations(t *testing.T) {
	g, _ := startGateway(t)
	g.holdUp(50*time.Millisecond, func() {
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
