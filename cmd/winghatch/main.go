// Command winghatch is the command-line tool for operators. It runs a gateway, checks settings, shows the
// state of a gateway, changes plans, replays recordings, and runs fault scenarios against real processes.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// command is the grammar of the command line. An alias is the name of a sub-command in earlier versions.
type command struct {
	Gateway   gatewayCmd   `cmd:"" help:"Run one gateway of a fleet."`
	Serve     serveCmd     `cmd:"" help:"Run one gateway of the platform from its JSON configuration."`
	Check     checkCmd     `cmd:"" help:"Check a settings file with the same checks as a starting gateway."`
	Replay    replayCmd    `cmd:"" help:"Replay a recording into a fresh core and compare all actions."`
	State     stateCmd     `cmd:"" help:"Show the state of a running gateway."`
	Demo      demoCmd      `cmd:"" help:"Run the scenario drain on loopback, which takes about 20 s."`
	Scenario  scenarioCmd  `cmd:"" aliases:"day" help:"Run a fault scenario and check the invariants."`
	Scenarios scenariosCmd `cmd:"" aliases:"days" help:"Run scenarios one after the other and print a table."`
	Verify    verifyCmd    `cmd:"" aliases:"audit" help:"Check the invariants of a recorded run again."`
	Plan      planCmd      `cmd:"" help:"Change the plans of a running fleet, or show plans and changes."`
	Reserve   reserveCmd   `cmd:"" help:"Reserve units for requests of a member that are marked as reserved."`
	Export    exportCmd    `cmd:"" help:"Export the usage that a stopped gateway has not delivered."`
	Key       keyCmd       `cmd:"" help:"Generate keys for members and secrets for fleets."`
}

const description = "A gateway that enforces quotas and priorities across a fleet.\n\n" +
	"  winghatch check examples/fleet.kdl\n" +
	"  winghatch gateway --config examples/fleet.kdl --rank 0\n" +
	"  winghatch state --at 127.0.0.1:7300\n" +
	"  winghatch demo"

// exitCode is an error that ends the program with the given exit code and without a message, because the
// sub-command has already printed one.
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
