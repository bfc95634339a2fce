package platform

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against a gateway that depends on the reader of its log. The gateway was ended by SIGPIPE after the
// reader of standard error had exited, and blocked during its shutdown after the reader had stopped reading.
// It must continue to serve and exit normally.
func TestUnreadLogDoesNotBlockGateway(t *testing.T) {
	for _, closed := range []bool{true, false} {
		t.Run(fmt.Sprint("closed ", closed), func(t *testing.T) { testUnreadLog(t, closed) })
	}
}

// testUnreadLog runs a gateway whose log has a reader that is closed or does not read.
func testUnreadLog(t *testing.T, closed bool) {
	t.Helper()
	g, queries := startGateway(t)
	g.kill()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	g.log = writer
	if !closed { // fills the pipe
		writer.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		for err == nil {
			_, err = writer.Write(make([]byte, 4<<10))
		}
		defer reader.Close()
	}
	g.start()
	if closed {
		reader.Close()
	}
	for range 3 {
		g.writeConfig("127.0.0.1:1") // each change is logged
		g.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
		g.writeConfig(startDiscovery(t, g.serverAddr, queries))
		g.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	g.responses <- "a"
	if status, _ := g.dial().get("t1"); status != 200 {
		t.Errorf("got status %d, want 200", status)
	}
	g.signal(syscall.SIGTERM)
	g.expectExit(5 * time.Second)
}
