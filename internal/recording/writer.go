package recording

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"winghatch/decide"
)

// Writer writes a recording through a buffer. It is not safe for concurrent use.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a writer to out, after writing the header with the settings and the seed of the recorded
// core. The header may stay buffered until Flush.
func NewWriter(out io.Writer, cfg decide.Config, seed int64) (*Writer, error) {
	w := &Writer{bufio.NewWriterSize(out, bufferBytes)}
	return w, w.writeLine(storedHeader{formatVersion, seed, storeConfig(cfg)})
}

// Write adds one event, which the core handled at the time at, and the actions that the core returned. Lines
// may stay buffered until Flush. Write returns an error if an event or an action has no stored form, or if
// the underlying writer failed.
func (w *Writer) Write(at time.Duration, event decide.Event, actions []decide.Action) error {
	record := storedRecord{At: int64(at)}
	var err error
	if record.Event, err = storeValue(event); err != nil {
		return err
	}
	for _, action := range actions {
		stored, err := storeValue(action)
		if err != nil {
			return err
		}
		record.Actions = append(record.Actions, stored)
	}
	return w.writeLine(record)
}

// Flush writes all buffered lines to the underlying writer.
func (w *Writer) Flush() error { return w.out.Flush() }

// writeLine writes the checksum of a document and the document itself as one line. bufio.Writer keeps the
// first error of the underlying writer, so the error of the last write covers all three writes.
func (w *Writer) writeLine(document any) error {
	raw, err := json.Marshal(document)
	if err != nil {
		return err
	}
	fmt.Fprintf(w.out, "%016x ", xxhash.Sum64(raw))
	w.out.Write(raw)
	return w.out.WriteByte('\n')
}

// storeValue encodes an event or an action together with its kind.
func storeValue(v any) (storedValue, error) {
	kind, stored := storedKind(v)
	if kind == "" {
		return storedValue{}, fmt.Errorf("recording: %T has no stored form", v)
	}
	raw, err := json.Marshal(stored)
	return storedValue{kind, raw}, err
}
