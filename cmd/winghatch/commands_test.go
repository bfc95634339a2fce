package main

import (
	"testing"

	"github.com/alecthomas/kong"

	"winghatch/internal/testbed/commandline"
)

// TestCommandLineIsBackwardCompatible guards against changes that break operators' scripts and service units,
// which call the sub-commands of earlier versions. Each of these sub-commands must still exist, under its
// name or an alias, with the same flags, arguments and defaults.
func TestCommandLineIsBackwardCompatible(t *testing.T) {
	commandline.CheckCompatibility(t, &command{}, "testdata/commands.txt", kong.Name("winghatch"))
}
