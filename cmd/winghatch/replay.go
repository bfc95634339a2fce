package main

import (
	"errors"
	"fmt"
	"os"
	"sort"

	"winghatch/internal/recording"
)

// replayCmd is the sub-command replay.
type replayCmd struct {
	Recording string `arg:"" name:"tape" help:"Recording of a gateway (*.tape)."`
}

// Run replays the recording into a new core. The exit code is 1 if the core's actions differ from the
// recorded ones. A recording that ends inside a record, as after a crash, is replayed up to that point.
func (c *replayCmd) Run() error {
	in, err := os.Open(c.Recording)
	if err != nil {
		return err
	}
	defer in.Close()
	result, err := recording.Replay(in)
	var mismatch *recording.MismatchError
	if errors.As(err, &mismatch) {
		fmt.Println(err)
		return exitCode(1)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.Recording, err)
	}
	fmt.Printf("%d events, %d actions, all the same\n", result.Events, result.Actions)
	var kinds []string
	for kind := range result.ByKind {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		fmt.Printf("  %-14s %d\n", kind, result.ByKind[kind])
	}
	if result.Truncated != nil {
		fmt.Println(result.Truncated)
	}
	return nil
}
