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

// Writer writes a recording. It is not safe for concurrent use.
type Writer struct{ out *bufio.Writer }

// NewWriter writes the header of a recording: the settings and the seed that the recorded core was made with.
func NewWriter(out io.Writer, cfg decide.Config, seed int64) (*Writer, error) {
	w := &Writer{bufio.NewWriterSize(out, bufferBytes)}
	return w, w.writeLine(storedHeader{formatVersion, seed, storeConfig(cfg)})
}

// Write adds one event and the actions that it caused. Lines are buffered until Flush.
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

// Flush passes all buffered lines to the underlying writer.
func (w *Writer) Flush() error { return w.out.Flush() }

// writeLine writes a document behind its checksum. Errors of the underlying writer are kept by bufio and
// returned by the last write.
func (w *Writer) writeLine(document any) error {
	raw, err := json.Marshal(document)
	if err != nil {
		return err
	}
	fmt.Fprintf(w.out, "%016x ", xxhash.Sum64(raw))
	w.out.Write(raw)
	return w.out.WriteByte('\n')
}

func storeValue(v any) (storedValue, error) {
	kind, stored := storedKind(v)
	if kind == "" {
		return storedValue{}, fmt.Errorf("recording: %T has no stored form", v)
	}
	raw, err := json.Marshal(stored)
	return storedValue{kind, raw}, err
}
