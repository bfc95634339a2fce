package platform

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

// The reader of standard error is gone, or stands still. The gateway was ended by SIGPIPE, or stood still at
// its stop; it has to serve on.
func TestALogThatNobodyReads(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprint("gone ", gone), func(t *testing.T) { playUnreadLog(t, gone) })
	}
}

func playUnreadLog(t *testing.T, gone bool) {
	t.Helper()
	g, queries := startGateway(t)
	g.kill()
	log, unread, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	g.log = unread
	if !gone { // the pipe is full
		unread.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		for err == nil {
			_, err = unread.Write(make([]byte, 4<<10))
		}
		defer log.Close()
	}
	g.start()
	if gone {
		log.Close()
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
		t.Errorf("%d, want 200", status)
	}
	g.signal(syscall.SIGTERM)
	g.expectExit(5 * time.Second)
}
