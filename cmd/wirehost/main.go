// Command wirehost hosts gateways of package decide on the wire of the bench: batches of events on standard
// input, one reply a batch on standard output. It translates and decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	h := newHost()
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 {
			reply, err := h.batch(line)
			if err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
			if _, err := w.Write(append(reply, '\n')); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
