package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/credentials"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/testbed/discovery"
	"winghatch/internal/wsconn"
)

const (
	clientKey   = "bench-key"
	echoServers = 4
	// maxQueueBytes is the queue of a connection of the bench's own, so large that none is closed for being slow.
	maxQueueBytes = 64 << 20
	// serverFile lists the servers' addresses beside the settings, for the relay.
	serverFile = "nodes"
)

// startEchoServer starts a server that answers at once, so that what is measured is the path and not the work, and
// returns its address. Its goroutines end with the process.
func startEchoServer() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go wsconn.Serve(ln, func(nc net.Conn) {
		options := wsconn.Options{MaxQueue: maxQueueBytes, ReadBuffer: 16 << 10}
		l, err := wsconn.Accept(nc, "jsonrpc", 5*time.Second, nil, options)
		if err != nil {
			return
		}
		for {
			data, err := l.Read()
			if err != nil {
				return
			}
			items, _, _ := jsonrpc.Parse(data, 1)
			for _, it := range items {
				if it.ID != "" {
					l.Send(jsonrpc.AppendResult(nil, it.ID, []byte(`{"units":1,"body":{"ok":true}}`)))
				}
			}
		}
	})
	return ln.Addr().String(), nil
}

// writeSettings writes the settings of a fleet in which no quota and no cap is reached. The function returned stops its
// discovery.
func writeSettings(dir string, servers []string) (string, func(), error) {
	l, err := discovery.Start("127.0.0.1:0", 0, nil)
	if err != nil {
		return "", nil, err
	}
	var endpoints []discoveryws.Endpoint
	for _, addr := range servers {
		endpoints = append(endpoints, discoveryws.Endpoint{Address: addr, State: "serving"})
	}
	l.Replace(endpoints)
	f, err := config.Parse("bench", []byte(`fleet bench {
		secret "`+strings.Repeat("0b", 32)+`"
		class look effect=safe { aim "10s"; deadline "20s" }
		plan big { rate "100000000/s"; burst 100000000 }
		limits { attempts 3; cancel #true; retry-after #true; connect-timeout "2s" }
		caps { open 1000000; session-open 100000; node-calls 100000; node-connections 2; queue "64MiB" }
		gateway listen="`+freeAddress()+`"
		member m plan=big { key "`+credentials.Digest{}.String()+`" }
	}`))
	if err != nil {
		return "", nil, err
	}
	f.Members[0].Keys[0] = f.Secret.MemberKeyHasher().Sum([]byte(clientKey))
	f.EndpointList = l.Addr()
	file := filepath.Join(dir, "fleet.kdl")
	return file, l.Stop, os.WriteFile(file, config.Format(f), 0o600)
}
