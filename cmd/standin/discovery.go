package main

import (
	"fmt"
	"strings"
	"time"

	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/discovery"
)

// discoveryCmd is the sub-command discovery.
type discoveryCmd struct {
	Listen  string        `required:"" help:"Listen address on loopback, host:port."`
	Delay   time.Duration `name:"lag" help:"Delay before changes are sent."`
	Servers []string      `arg:"" name:"nodes" optional:"" help:"Initial servers, host:port[@ZONE]."`
}

// Run runs the service until SIGINT or SIGTERM.
func (c *discoveryCmd) Run() error {
	service, err := discovery.Start(c.Listen, c.Delay, nil)
	if err != nil {
		return err
	}
	defer service.Stop()
	var endpoints []discoveryws.Endpoint
	for _, server := range c.Servers {
		endpoints = append(endpoints, parseEndpoint(server, "serving"))
	}
	u := discoveryws.Update{Endpoints: endpoints}
	if err := u.Validate(); err != nil {
		return err
	}
	service.Replace(endpoints)
	fmt.Println("discovery service listens on", service.Addr())
	go readChanges(service) // ends with the input or the program
	waitForInterrupt()
	return nil
}

// parseEndpoint returns the endpoint for an address of the form host:port or host:port@ZONE.
func parseEndpoint(s, state string) discoveryws.Endpoint {
	addr, zone, _ := strings.Cut(s, "@")
	return discoveryws.Endpoint{Address: addr, Zone: zone, State: state}
}

// readChanges applies changes from standard input, one line "SERVER STATE" each, until the input ends.
// Malformed lines are skipped. A server whose state is set to serving is announced as just started.
func readChanges(service *discovery.Server) {
	for {
		var server, state string
		if _, err := fmt.Scanln(&server, &state); err != nil {
			endOfInput := server == "" && state == "" && err.Error() != "unexpected newline"
			if endOfInput {
				return
			}
			continue
		}
		endpoint := parseEndpoint(server, state)
		if state == "serving" {
			endpoint.StartedMs = time.Now().UnixMilli()
		}
		u := discoveryws.Update{Endpoints: []discoveryws.Endpoint{endpoint}}
		if err := u.Validate(); err != nil {
			fmt.Println(err)
			continue
		}
		service.Update(endpoint)
	}
}
