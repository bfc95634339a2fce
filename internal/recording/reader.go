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

// TruncatedError reports that a recording ends inside a line, or that a line is damaged. Everything before Line was
// read; nothing from Line on is, as a replay without a lost event would differ.
type TruncatedError struct {
	Line   int // from 1, the header
	Reason string
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("recording: line %d: %s; read up to there", e.Line, e.Reason)
}

// Reader reads a recording line by line. It is not safe for concurrent use.
type Reader struct {
	Header

	in   *bufio.Reader
	line int // the line last read, from 1
}

// NewReader reads the header. It fails on an empty input, a damaged header and a version other than its own.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{in: bufio.NewReaderSize(in, bufferBytes)}
	raw, err := r.readLine()
	if errors.Is(err, io.EOF) {
		return nil, errors.New("recording: empty")
	}
	if err != nil {
		return nil, err
	}
	var h storedHeader
	if err := json.Unmarshal(raw, &h); err != nil || h.Version != formatVersion {
		return nil, fmt.Errorf("recording: line 1: version %d, want %d", h.Version, formatVersion)
	}
	r.Header = Header{h.Seed, h.Config.load()}
	return r, nil
}

// Next returns the next record. It returns io.EOF behind the last one, and a *TruncatedError where the recording
// is truncated or damaged.
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

// readLine returns the JSON document of the next line once its checksum is verified.
func (r *Reader) readLine() ([]byte, error) {
	raw, err := r.in.ReadBytes('\n')
	if len(raw) == 0 && errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	r.line++
	if errors.Is(err, io.EOF) {
		return nil, r.truncated("cut inside a record")
	}
	if err != nil {
		return nil, err
	}
	sum, document, found := bytes.Cut(raw[:len(raw)-1], []byte{' '})
	want, err := strconv.ParseUint(string(sum), 16, 64)
	if !found || err != nil || len(sum) != 16 || want != xxhash.Sum64(document) {
		return nil, r.truncated("checksum is wrong")
	}
	return document, nil
}

// truncated is the error for the line last read.
func (r *Reader) truncated(reason string) *TruncatedError { return &TruncatedError{r.line, reason} }

// loadValue reads a stored value with the loader of its kind.
func loadValue[T any](v storedValue, loaders map[string]loader[T]) (T, error) {
	load, ok := loaders[v.Kind]
	if !ok {
		var none T
		return none, fmt.Errorf("kind %q is not known", v.Kind)
	}
	return load(v.Value)
}
