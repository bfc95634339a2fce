// Command wirehost hosts gateways of package decide for a simulator. It reads batches of messages from
// standard input, one JSON object per line, and writes one reply per batch to standard output. It only
// converts messages to events and actions to messages; all decisions are made in package decide.
//
// It exits at the end of its input. If it cannot parse a line, it prints an error with the line number to
// standard error and exits with code 1.
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

// bufferSize is the size of the input and output buffers in bytes. It is large because a batch holds the
// messages of many gateways.
const bufferSize = 1 << 20

// serve replies to batches until the input ends. It returns the first error with its line number.
func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	h := newHost()
	for number := 1; ; number++ {
		line, readErr := r.ReadBytes('\n')
		if len(line) > 0 {
			if err := serveLine(h, line, w); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("read line %d: %w", number, readErr)
		}
	}
}

// serveLine replies to the batch in one line and flushes the reply.
func serveLine(h *host, line []byte, w *bufio.Writer) error {
	reply, err := h.handleBatch(line)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(reply, '\n')); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
