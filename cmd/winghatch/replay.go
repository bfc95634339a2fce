package main

import (
	"errors"
	"fmt"
	"os"
	"sort"

	"winghatch/internal/recording"
)

type replayCmd struct {
	Tape string `arg:"" help:"A tape that a gateway recorded."`
}

func (c *replayCmd) Run() error {
	in, err := os.Open(c.Tape)
	if err != nil {
		return err
	}
	defer in.Close()
	n, err := recording.Replay(in)
	var diff *recording.MismatchError
	if errors.As(err, &diff) {
		fmt.Println(err)
		return exitCode(1)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.Tape, err)
	}
	fmt.Printf("%d events, %d actions, all the same\n", n.Events, n.Actions)
	var kinds []string
	for k := range n.ByKind {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, k := range kinds {
		fmt.Printf("  %-14s %d\n", k, n.ByKind[k])
	}
	if n.Truncated != nil {
		fmt.Println(n.Truncated)
	}
	return nil
}
