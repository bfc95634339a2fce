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
	clientKey   = "bench-key" // key of the only member
	echoServers = 4           // number of servers to which each path leads
	// maxQueueBytes bounds the send queue of the benchmark's own connections. It is large enough that no
	// connection is closed because its peer reads too slowly.
	maxQueueBytes = 64 << 20
	// serverFile is the name of a file in the directory of the settings that lists the servers' addresses for
	// the relay.
	serverFile = "nodes"
)

// startEchoServer starts a server that answers at once, so that the path is measured and not the work of the
// server. It returns the server's address. Its goroutines end with the process.
func startEchoServer() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go wsconn.Serve(ln, func(nc net.Conn) {
		options := wsconn.Options{MaxQueue: maxQueueBytes, ReadBuffer: 16 << 10}
		conn, err := wsconn.Accept(nc, "jsonrpc", 5*time.Second, nil, options)
		if err != nil {
			return
		}
		for {
			data, err := conn.Read()
			if err != nil {
				return
			}
			messages, _, _ := jsonrpc.Parse(data, 1)
			for _, message := range messages {
				if message.ID != "" {
					conn.Send(jsonrpc.AppendResult(nil, message.ID, []byte(`{"units":1,"body":{"ok":true}}`)))
				}
			}
		}
	})
	return ln.Addr().String(), nil
}

// writeSettings writes the settings of a fleet whose quotas and caps are never reached to a file in dir. It
// returns the name of the file and a function that stops the fleet's discovery service.
func writeSettings(dir string, servers []string) (string, func(), error) {
	service, err := discovery.Start("127.0.0.1:0", 0, nil)
	if err != nil {
		return "", nil, err
	}
	var endpoints []discoveryws.Endpoint
	for _, addr := range servers {
		endpoints = append(endpoints, discoveryws.Endpoint{Address: addr, State: "serving"})
	}
	service.Replace(endpoints)
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
	f.EndpointList = service.Addr()
	file := filepath.Join(dir, "fleet.kdl")
	return file, service.Stop, os.WriteFile(file, config.Format(f), 0o600)
}
