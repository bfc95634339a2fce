package http

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxEntryBytes bounds one target, and the white space between two.
const maxEntryBytes = 64 << 10

// errTrailing says that something follows a list where only white space may.
var errTrailing = errors.New("discovery: bytes after the list")

// entryErrors are the targets of a list that cannot be used.
type entryErrors struct {
	n     int
	first error
}

func (e *entryErrors) add(index int, err error) {
	e.n++
	if e.n == 1 {
		e.first = fmt.Errorf("targets[%d]: %w", index, err)
	}
}

// decode reads a list one target at a time, so that neither its size nor indentation costs memory. A target that
// cannot be used in part must not hide the others: it is restricted, and counted in the entryErrors beside the list.
func decode(body io.Reader) (*List, entryErrors, error) {
	d := decoder{json: json.NewDecoder(&entryLimitReader{r: body}), list: &List{}, index: map[string]int{}}
	if err := d.decodeList(); err != nil {
		return nil, d.errors, err
	}
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		return nil, d.errors, errTrailing
	}
	if d.list.Full && !d.hasTargets {
		return nil, d.errors, fmt.Errorf("discovery: rev %d is a full list without targets", d.list.Rev)
	}
	return d.list, d.errors, nil
}

type decoder struct {
	json       *json.Decoder
	list       *List
	index      map[string]int // of a UID in list.Targets
	hasTargets bool           // the list has the field, maybe without any
	errors     entryErrors
}

func (d *decoder) expectDelim(want json.Delim) error {
	token, err := d.json.Token()
	if err == nil && token != want {
		err = fmt.Errorf("discovery: %v, want %v", token, want)
	}
	return err
}

func (d *decoder) decodeList() error {
	if err := d.expectDelim('{'); err != nil {
		return err
	}
	for d.json.More() {
		key, err := d.json.Token()
		if err != nil {
			return err
		}
		switch key {
		case "rev":
			err = d.json.Decode(&d.list.Rev)
		case "all":
			err = d.json.Decode(&d.list.Full)
		case "targets":
			err = d.decodeTargets()
		default:
			var ignored json.RawMessage
			err = d.json.Decode(&ignored)
		}
		if err != nil {
			return err
		}
	}
	return d.expectDelim('}')
}

func (d *decoder) decodeTargets() error {
	d.hasTargets = true
	switch token, err := d.json.Token(); {
	case err != nil:
		return err
	case token == nil: // null means no targets
		return nil
	case token != json.Delim('['):
		return fmt.Errorf("discovery: targets begin with %v, want a list", token)
	}
	for d.json.More() {
		t, err := d.decodeTarget()
		if err != nil {
			return err
		}
		if t.UID == "" {
			continue
		}
		if err := d.add(t); err != nil {
			return err
		}
	}
	return d.expectDelim(']')
}

// decodeTarget reads a target. An error means that the list cannot be read any further.
func (d *decoder) decodeTarget() (Target, error) {
	var t Target
	err := d.json.Decode(&t)
	var wrongType *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &wrongType) {
		return t, err
	}
	if wrongType != nil && wrongType.Field == "boot_ms" {
		t.BootMS = bootUnknown
	}
	if err == nil {
		err = t.check()
	}
	if err != nil {
		d.errors.add(len(d.list.Targets), err)
		t.restrict()
	}
	return t, nil
}

// add adds a target; of two with the same name the later one counts.
func (d *decoder) add(t Target) error {
	if i, twice := d.index[t.UID]; twice {
		d.list.Targets[i] = t
		return nil
	}
	if len(d.list.Targets) == maxTargets {
		return fmt.Errorf("discovery: rev %d: more than %d targets", d.list.Rev, maxTargets)
	}
	d.index[t.UID] = len(d.list.Targets)
	d.list.Targets = append(d.list.Targets, t)
	return nil
}

// entryLimitReader fails once more than maxEntryBytes arrived without the end of a JSON object: an entry that never
// ends must not fill the memory. A list without end is bounded by maxTargets and callTimeout.
type entryLimitReader struct {
	r        io.Reader
	sinceEnd int // bytes
}

func (l *entryLimitReader) Read(b []byte) (int, error) {
	n, err := l.r.Read(b)
	for _, c := range b[:n] {
		l.sinceEnd++
		if c == '}' {
			l.sinceEnd = 0
		}
	}
	if l.sinceEnd > maxEntryBytes {
		return n, errors.New("discovery: an entry without end")
	}
	return n, err
}
