package main

import (
	"testing"

	"github.com/alecthomas/kong"

	"winghatch/internal/testbed/commandline"
)

// Scripts and units of operators call the sub-commands of earlier versions. Each is still found, by its name or by an
// alias, with the same flags, arguments and defaults.
func TestCommandsStay(t *testing.T) {
	commandline.CheckStored(t, &command{}, "testdata/commands.txt", kong.Name("winghatch"))
}
