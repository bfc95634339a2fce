// Package tape records what a gateway's core was given and what came out, and replays it into a fresh core:
// the same actions prove that whoever replays has the same core.
//
// A tape is lines of text, each the XXH64 of its JSON in 16 hexadecimal digits, a space and the JSON. The
// first line holds the settings and the seed, every other the time, an event and its actions. A tape may be
// cut anywhere, as by a kill; it reads up to its last whole line.
package recording

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"winghatch/decide"
)

// Header is a tape's first record.
type Header struct {
	Version int
	Seed    int64
	Config  decide.Config
}

// Record is one turn of the core.
type Record struct {
	At      time.Duration
	Event   decide.Event
	Actions []decide.Action
}

type storedHeader struct {
	Version int
	Seed    int64
	Config  storedConfig
}

const formatVersion = 1

type storedValue struct {
	Kind  string          `json:"k"`
	Value json.RawMessage `json:"v"`
}

type storedRecord struct {
	At      int64         `json:"t"`
	Event   storedValue   `json:"e"`
	Actions []storedValue `json:"a,omitempty"`
}

func storeValue(v any) (storedValue, error) {
	kind, stored := storedKind(v)
	if kind == "" {
		return storedValue{}, fmt.Errorf("tape: %T has no stored form", v)
	}
	raw, err := json.Marshal(stored)
	return storedValue{kind, raw}, err
}

// Writer writes a tape. It is not safe for concurrent use.
type Writer struct{ out *bufio.Writer }

// NewWriter writes the first record.
func NewWriter(w io.Writer, cfg decide.Config, seed int64) (*Writer, error) {
	t := &Writer{bufio.NewWriterSize(w, 64<<10)}
	return t, t.writeLine(storedHeader{formatVersion, seed, storeConfig(cfg)})
}

func (t *Writer) writeLine(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%016x ", xxhash.Sum64(raw))
	t.out.Write(raw)
	return t.out.WriteByte('\n')
}

// Write adds a record.
func (t *Writer) Write(at time.Duration, ev decide.Event, acts []decide.Action) error {
	r := storedRecord{At: int64(at)}
	var err error
	if r.Event, err = storeValue(ev); err != nil {
		return err
	}
	for _, a := range acts {
		p, err := storeValue(a)
		if err != nil {
			return err
		}
		r.Actions = append(r.Actions, p)
	}
	return t.writeLine(r)
}

// Flush hands what was written to the file.
func (t *Writer) Flush() error { return t.out.Flush() }

// ErrCut says that a tape ends inside a record, or goes on with one that is damaged.
type TruncatedError struct {
	Line   int
	Reason string
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("tape: line %d: %s; read up to there", e.Line, e.Reason)
}

// Reader reads a tape.
type Reader struct {
	in   *bufio.Reader
	line int
	Header
}

// NewReader reads the first record.
func NewReader(r io.Reader) (*Reader, error) {
	t := &Reader{in: bufio.NewReaderSize(r, 64<<10)}
	raw, err := t.readLine()
	if errors.Is(err, io.EOF) {
		return nil, errors.New("tape: empty")
	}
	if err != nil {
		return nil, err
	}
	var h storedHeader
	if err := json.Unmarshal(raw, &h); err != nil || h.Version != formatVersion {
		return nil, fmt.Errorf("tape: line 1: version %d, want %d", h.Version, formatVersion)
	}
	t.Header = Header{h.Version, h.Seed, h.Config.load()}
	return t, nil
}

func (t *Reader) readLine() ([]byte, error) {
	raw, err := t.in.ReadBytes('\n')
	if len(raw) == 0 && errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	t.line++
	if errors.Is(err, io.EOF) {
		return nil, &TruncatedError{t.line, "cut inside a record"}
	}
	if err != nil {
		return nil, err
	}
	sum, body, ok := bytes.Cut(raw[:len(raw)-1], []byte{' '})
	want, perr := strconv.ParseUint(string(sum), 16, 64)
	if !ok || perr != nil || len(sum) != 16 || want != xxhash.Sum64(body) {
		return nil, &TruncatedError{t.line, "checksum is wrong"}
	}
	return body, nil
}

// Next returns the next record, io.EOF at the end or *ErrCut where the tape is cut or damaged.
func (t *Reader) Next() (Record, error) {
	raw, err := t.readLine()
	if err != nil {
		return Record{}, err
	}
	var w storedRecord
	if err := json.Unmarshal(raw, &w); err != nil {
		return Record{}, &TruncatedError{t.line, err.Error()}
	}
	r := Record{At: time.Duration(w.At)}
	if r.Event, err = loadValue(w.Event, eventLoaders); err != nil {
		return r, &TruncatedError{t.line, err.Error()}
	}
	for _, p := range w.Actions {
		a, err := loadValue(p, actionLoaders)
		if err != nil {
			return r, &TruncatedError{t.line, err.Error()}
		}
		r.Actions = append(r.Actions, a)
	}
	return r, nil
}

// Counts is what a replay met.
type ReplayResult struct {
	Events, Actions int
	ByKind          map[string]int
	Truncated       *TruncatedError // the tape was cut; the rest was replayed
}

func (c *ReplayResult) countKind(v any) {
	kind, _ := storedKind(v)
	c.ByKind[kind]++
}

// Difference is the first record at which a fresh core did otherwise.
type MismatchError struct {
	Record    int
	At        time.Duration
	Event     decide.Event
	Want, Got []decide.Action // on the tape; by the fresh core
}

func (d *MismatchError) Error() string {
	return fmt.Sprintf("tape: record %d at %v: %T%+v: the tape has %+v, this core does %+v", d.Record, d.At,
		d.Event, d.Event, d.Want, d.Got)
}

// Replay plays a tape into a fresh core. The error is a *Difference if its actions differ.
func Replay(r io.Reader) (ReplayResult, error) {
	c := ReplayResult{ByKind: map[string]int{}}
	t, err := NewReader(r)
	if err != nil {
		return c, err
	}
	core, err := decide.New(t.Config, t.Seed)
	if err != nil {
		return c, fmt.Errorf("tape: line 1: %w", err)
	}
	for {
		rec, err := t.Next()
		if errors.Is(err, io.EOF) {
			return c, nil
		}
		if errors.As(err, &c.Truncated) {
			return c, nil
		}
		if err != nil {
			return c, err
		}
		c.Events++
		got := core.Handle(rec.At, rec.Event)
		if len(got) != len(rec.Actions) || len(got) > 0 && !reflect.DeepEqual(got, rec.Actions) {
			return c, &MismatchError{c.Events, rec.At, rec.Event, rec.Actions, got}
		}
		c.Actions += len(got)
		c.countKind(rec.Event)
		for _, a := range got {
			c.countKind(a)
		}
	}
}
