// Command winghatch is the operators' command. It runs a gateway, checks settings, shows state, changes plans, replays
// recordings, and runs fault scenarios against real processes.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// command is the command line. An alias is the name that a sub-command had in earlier versions.
type command struct {
	Gateway   gatewayCmd   `cmd:"" help:"Run one gateway of a fleet."`
	Serve     serveCmd     `cmd:"" help:"Run one gateway of the platform, as its configuration says."`
	Check     checkCmd     `cmd:"" help:"Check a settings file as the gateway does when it starts."`
	Replay    replayCmd    `cmd:"" help:"Replay a recording into a fresh core and compare all actions."`
	State     stateCmd     `cmd:"" help:"Show the state of a running gateway."`
	Demo      demoCmd      `cmd:"" help:"Run the scenario drain on loopback, in about 20 s."`
	Scenario  scenarioCmd  `cmd:"" aliases:"day" help:"Run a fault scenario and check the invariants."`
	Scenarios scenariosCmd `cmd:"" aliases:"days" help:"Run many scenarios one after the other and print a table."`
	Verify    verifyCmd    `cmd:"" aliases:"audit" help:"Check the invariants on a recorded run again."`
	Plan      planCmd      `cmd:"" help:"Change plans in service, show them and what became of changes."`
	Reserve   reserveCmd   `cmd:"" help:"Reserve units for a member's marked requests."`
	Export    exportCmd    `cmd:"" help:"Export the usage that a stopped gateway still owes."`
	Key       keyCmd       `cmd:"" help:"Make keys of members and secrets of fleets."`
}

const description = "A gateway that enforces quotas and priorities across a fleet.\n\n" +
	"  winghatch check examples/fleet.kdl\n" +
	"  winghatch gateway --config examples/fleet.kdl --rank 0\n" +
	"  winghatch state --at 127.0.0.1:7300\n" +
	"  winghatch demo"

// exitCode is an error that ends the program with this code and prints nothing more.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

func main() {
	var c command
	k := kong.Parse(&c, kong.Name("winghatch"), kong.UsageOnError(), kong.Description(description),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	err := k.Run()
	var code exitCode
	if errors.As(err, &code) {
		os.Exit(int(code))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
