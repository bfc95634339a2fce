// Command winghatch is the operators' command: it runs a gateway, checks settings, replays tapes, asks a
// gateway its state, and plays days of trouble against real processes.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type command struct {
	Gateway gatewayCmd   `cmd:"" help:"Run one gateway of a fleet."`
	Serve   serveCmd     `cmd:"" help:"Run one gateway of the platform, as its configuration tells."`
	Check   checkCmd     `cmd:"" help:"Check a settings file as the gateway does at its start."`
	Replay  replayCmd    `cmd:"" help:"Replay a recorded tape into a fresh core and compare all actions."`
	State   stateCmd     `cmd:"" help:"Ask a running gateway its state."`
	Demo    demoCmd      `cmd:"" help:"Play the drain day on loopback: 3 gateways, 6 nodes, a list and a school, in about 20 s."`
	Day     scenarioCmd  `cmd:"" help:"Play a day file against real processes and judge it."`
	Days    scenariosCmd `cmd:"" help:"Play many days one after the other and print a table."`
	Audit   verifyCmd    `cmd:"" help:"Judge again what a day left in a folder."`
	Plan    planCmd      `cmd:"" help:"Change plans in service, show them and what became of changes."`
	Reserve reserveCmd   `cmd:"" help:"Set units aside for a member's marked calls."`
	Export  exportCmd    `cmd:"" help:"Export the use that a gateway owes which does not run."`
	Key     keyCmd       `cmd:"" help:"Make keys of members and secrets of fleets."`
}

// exit is an error that says with what code to end; the text, if any, was said.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

func main() {
	var c command
	k := kong.Parse(&c, kong.Name("winghatch"), kong.UsageOnError(),
		kong.Description("A gateway that enforces quotas and priorities across a fleet.\n\n"+
			"  winghatch check examples/fleet.kdl\n  winghatch gateway --config examples/fleet.kdl --rank 0\n"+
			"  winghatch state --at 127.0.0.1:7300\n  winghatch demo"),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	err := k.Run()
	var e exitCode
	if errors.As(err, &e) {
		os.Exit(int(e))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
