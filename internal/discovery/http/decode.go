package http

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxEntryBytes limits the length of one target together with the white space before it.
const maxEntryBytes = 64 << 10

// errTrailing reports bytes other than white space after a list.
var errTrailing = errors.New("discovery: unexpected bytes after the endpoint list")

// entryErrors collects the errors of the invalid targets in a list.
type entryErrors struct {
	n     int   // number of invalid targets
	first error // error of the first one; nil if n is 0
}

// add records the error of the target with the given index.
func (e *entryErrors) add(index int, err error) {
	e.n++
	if e.n == 1 {
		e.first = fmt.Errorf("targets[%d]: %w", index, err)
	}
}

// decode reads a list from a response body. It decodes one target at a time, so that the encoded list, which
// may be large because of its indentation, is never held in memory as a whole. An invalid target must not
// hide the others, so it does not make decode fail: it is sanitized (see Target.sanitize) and counted in the
// entryErrors that are returned with the list.
func decode(body io.Reader) (*List, entryErrors, error) {
	d := decoder{json: json.NewDecoder(&entryLimitReader{r: body}), list: &List{}, index: map[string]int{}}
	if err := d.decodeList(); err != nil {
		return nil, d.errors, err
	}
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		return nil, d.errors, errTrailing
	}
	if d.list.Full && !d.hasTargets {
		return nil, d.errors, fmt.Errorf("discovery: rev %d: full list has no field \"targets\"", d.list.Rev)
	}
	return d.list, d.errors, nil
}

// decoder decodes one list.
type decoder struct {
	json       *json.Decoder
	list       *List
	index      map[string]int // index in list.Targets, keyed by UID
	hasTargets bool           // the field "targets" is present, possibly empty
	errors     entryErrors
}

// expectDelim reads the next token, which must be the given delimiter.
func (d *decoder) expectDelim(want json.Delim) error {
	token, err := d.json.Token()
	if err == nil && token != want {
		err = fmt.Errorf("discovery: endpoint list: got %v, want %v", token, want)
	}
	return err
}

// decodeList reads the object of the list. Unknown fields are ignored.
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

// decodeTargets reads the value of the field "targets". Targets without a usable UID are omitted.
func (d *decoder) decodeTargets() error {
	d.hasTargets = true
	switch token, err := d.json.Token(); {
	case err != nil:
		return err
	case token == nil: // null means no targets
		return nil
	case token != json.Delim('['):
		return fmt.Errorf("discovery: targets: got %v, want an array", token)
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

// decodeTarget reads one target. If the target is invalid, decodeTarget records the error and sanitizes the
// target. It returns an error only if the rest of the list cannot be read.
func (d *decoder) decodeTarget() (Target, error) {
	var t Target
	err := d.json.Decode(&t)
	var wrongType *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &wrongType) {
		return t, err
	}
	if wrongType != nil && wrongType.Field == "boot_ms" {
		t.BootMS = bootMSUnknown
	}
	if err == nil {
		err = t.validate()
	}
	if err != nil {
		d.errors.add(len(d.list.Targets), err)
		t.sanitize()
	}
	return t, nil
}

// add adds a target to the list. If the list already has a target with the same UID, the new one replaces it.
// It returns an error if the list has too many targets.
func (d *decoder) add(t Target) error {
	if i, exists := d.index[t.UID]; exists {
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

// entryLimitReader fails when more than maxEntryBytes have been read without the end of a JSON object, so
// that an endless entry cannot exhaust the memory. An endless list is limited by maxTargets and callTimeout.
type entryLimitReader struct {
	r        io.Reader
	sinceEnd int // bytes since the last '}'
}

// Read implements io.Reader.
func (l *entryLimitReader) Read(b []byte) (int, error) {
	n, err := l.r.Read(b)
	for _, c := range b[:n] {
		l.sinceEnd++
		if c == '}' {
			l.sinceEnd = 0
		}
	}
	if l.sinceEnd > maxEntryBytes {
		return n, errors.New("discovery: entry in the endpoint list is longer than 64 KiB")
	}
	return n, err
}
