package recording

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TruncatedError reports that a recording ends in the middle of a line or contains a damaged line. All lines
// before Line were read. Line and everything after it are ignored, because a replay that skips an event would
// differ from the recording.
type TruncatedError struct {
	Line   int // line number; the header is line 1
	Reason string
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("recording: line %d: %s; this line and all later ones are ignored", e.Line, e.Reason)
}

// Reader reads a recording line by line. It is not safe for concurrent use.
type Reader struct {
	Header

	in   *bufio.Reader
	line int // number of the line read last; 0 before the header is read
}

// NewReader returns a reader for the recording in in, after reading its header. It returns an error if the
// input is empty, the header is damaged, or the format version is not the one that this package writes.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{in: bufio.NewReaderSize(in, bufferBytes)}
	raw, err := r.readLine()
	if errors.Is(err, io.EOF) {
		return nil, errors.New("recording: input is empty, want a header line")
	}
	if err != nil {
		return nil, err
	}
	var h storedHeader
	if err := json.Unmarshal(raw, &h); err != nil || h.Version != formatVersion {
		return nil, fmt.Errorf("recording: line 1: format version %d (0: missing or not JSON), want %d",
			h.Version, formatVersion)
	}
	r.Header = Header{h.Seed, h.Config.load()}
	return r, nil
}

// Next returns the next record. It returns io.EOF after the last record and a *TruncatedError if the next
// line is truncated or damaged.
func (r *Reader) Next() (Record, error) {
	raw, err := r.readLine()
	if err != nil {
		return Record{}, err
	}
	var stored storedRecord
	if err := json.Unmarshal(raw, &stored); err != nil {
		return Record{}, r.truncated(err.Error())
	}
	record := Record{At: time.Duration(stored.At)}
	if record.Event, err = loadValue(stored.Event, eventLoaders); err != nil {
		return record, r.truncated(err.Error())
	}
	for _, v := range stored.Actions {
		action, err := loadValue(v, actionLoaders)
		if err != nil {
			return record, r.truncated(err.Error())
		}
		record.Actions = append(record.Actions, action)
	}
	return record, nil
}

// readLine reads the next line, verifies its checksum and returns its JSON document.
func (r *Reader) readLine() ([]byte, error) {
	raw, err := r.in.ReadBytes('\n')
	if len(raw) == 0 && errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	r.line++
	if errors.Is(err, io.EOF) {
		return nil, r.truncated("truncated inside a record")
	}
	if err != nil {
		return nil, err
	}
	checksum, document, found := bytes.Cut(raw[:len(raw)-1], []byte{' '})
	want, err := strconv.ParseUint(string(checksum), 16, 64)
	if !found || err != nil || len(checksum) != 16 || want != xxhash.Sum64(document) {
		return nil, r.truncated("checksum is missing or does not match")
	}
	return document, nil
}

// truncated returns a *TruncatedError for the line read last.
func (r *Reader) truncated(reason string) *TruncatedError { return &TruncatedError{r.line, reason} }

// loadValue decodes a stored event or action with the loader of its kind. An unknown kind is an error.
func loadValue[T any](v storedValue, loaders map[string]loader[T]) (T, error) {
	load, ok := loaders[v.Kind]
	if !ok {
		var zero T
		return zero, fmt.Errorf("kind %q is not known", v.Kind)
	}
	return load(v.Value)
}
