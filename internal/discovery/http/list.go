package http

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"

	"winghatch/decide"
	upstreamhttp "winghatch/internal/upstream/http"
)

// Entry is a server as the list tells it.
type Target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	Cell         int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       int64   `json:"boot_ms"` // Unix time; 0: long ago
}

// List is a list or a change of it.
type List struct {
	Rev     uint64   `json:"rev"`
	Full    bool     `json:"all"`
	Targets []Target `json:"targets"`
}

const (
	// targetsMost bounds a list: 3,200 servers are promised, and a change may replace them all a few times over.
	maxTargets = 16 << 10
	// valueMost bounds one entry, and the white space between two, in bytes.
	maxEntryBytes = 64 << 10
	maxUIDBytes   = 1 << 10
	// bootUnknown stands for a boot_ms that can't be read: some time that is not long ago.
	bootUnknown = 1
)

var serverStates = map[string]decide.ServerState{"ready": decide.Serving, "draining": decide.Draining, "gone": decide.Removed}

// fault says which field of an entry can't be used.
type fieldError struct {
	field string
	value any
	want  string
}

func (f *fieldError) Error() string {
	return fmt.Sprintf("%s is %#v, want %s", f.field, f.value, f.want)
}

// check reports the first field that can't be used.
func (e *Target) check() error {
	if e.UID == "" || len(e.UID) > maxUIDBytes {
		return &fieldError{"uid", e.UID, fmt.Sprintf("1 to %d bytes", maxUIDBytes)}
	}
	if _, ok := serverStates[e.State]; !ok {
		return &fieldError{"state", e.State, "ready, draining or gone"}
	}
	if _, _, err := net.SplitHostPort(e.Endpoint); err != nil && e.State != "gone" {
		return &fieldError{"endpoint", e.Endpoint, "host:port"}
	}
	if e.BootMS < 0 {
		return &fieldError{"boot_ms", e.BootMS, "0 or more"}
	}
	if e.CapacityHint < 0 {
		return &fieldError{"capacity_hint", e.CapacityHint, "0 or more"}
	}
	return nil
}

// Check reports what makes a list of the configuration unusable.
func (l *List) Check() error {
	if len(l.Targets) > maxTargets {
		return fmt.Errorf("registry: rev %d: %d targets, want %d at most", l.Rev, len(l.Targets), maxTargets)
	}
	seen := map[string]bool{}
	for i := range l.Targets {
		e := &l.Targets[i]
		err := e.check()
		if err == nil && seen[e.UID] {
			err = &fieldError{"uid", e.UID, "each once"}
		}
		if err != nil {
			return fmt.Errorf("registry: rev %d: targets[%d].%w", l.Rev, i, err)
		}
		seen[e.UID] = true
	}
	return nil
}

// Servers is the list as the pool of connections is told it.
func (l *List) Servers() (out []upstreamhttp.Server) {
	for _, e := range l.Targets {
		out = append(out, upstreamhttp.Server{ID: e.UID, Addr: e.Endpoint, Incarnation: e.BootMS, State: serverStates[e.State]})
	}
	return out
}

// decode reads a list from an answer, an entry at a time, so that neither indentation nor size costs memory. An entry that
// can't be used in part does not hide the others: it gets nothing new. Such faults are returned beside the list.
func decode(body io.Reader) (*List, entryErrors, error) {
	d := decoder{json: json.NewDecoder(&entryLimitReader{r: body}), list: &List{}, index: map[string]int{}}
	if err := d.decodeList(); err != nil {
		return nil, d.faults, err
	}
	if _, err := d.json.Token(); err != io.EOF {
		return nil, d.faults, errors.New("registry: bytes behind the list")
	}
	if d.list.Full && !d.hasTargets {
		return nil, d.faults, fmt.Errorf("registry: rev %d is a whole list without targets", d.list.Rev)
	}
	return d.list, d.faults, nil
}

// faults are the entries of a list that can't be used.
type entryErrors struct {
	n     int
	first error
}

type decoder struct {
	json       *json.Decoder
	list       *List
	index      map[string]int // uid to the place in the list
	hasTargets bool           // targets were
	faults     entryErrors
}

func (d *decoder) expectDelim(want json.Delim) error {
	t, err := d.json.Token()
	if err == nil && t != want {
		err = fmt.Errorf("registry: %v, want %v", t, want)
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
			var other json.RawMessage
			err = d.json.Decode(&other)
		}
		if err != nil {
			return err
		}
	}
	return d.expectDelim('}')
}

func (d *decoder) decodeTargets() error {
	d.hasTargets = true
	switch t, err := d.json.Token(); {
	case err != nil:
		return err
	case t == nil: // null stands for none
		return nil
	case t != json.Delim('['):
		return fmt.Errorf("registry: targets begin with %v, want a list", t)
	}
	for d.json.More() {
		var e Target
		err := d.json.Decode(&e)
		var field *json.UnmarshalTypeError
		if err != nil && !errors.As(err, &field) {
			return err
		}
		if field != nil && field.Field == "boot_ms" {
			e.BootMS = bootUnknown
		}
		if err == nil {
			err = e.check()
		}
		if err != nil {
			if d.faults.n++; d.faults.n == 1 {
				d.faults.first = fmt.Errorf("targets[%d]: %w", len(d.list.Targets), err)
			}
			e.restrict()
		}
		if e.UID == "" {
			continue
		}
		if i, twice := d.index[e.UID]; twice { // the later entry counts
			d.list.Targets[i] = e
			continue
		}
		if len(d.list.Targets) == maxTargets {
			return fmt.Errorf("registry: rev %d: more than %d targets", d.list.Rev, maxTargets)
		}
		d.index[e.UID] = len(d.list.Targets)
		d.list.Targets = append(d.list.Targets, e)
	}
	return d.expectDelim(']')
}

// restrict makes an entry that can't be used in part one that gets nothing new; one without a name is dropped.
func (e *Target) restrict() {
	if len(e.UID) > maxUIDBytes {
		e.UID = ""
	}
	if e.State != "gone" {
		e.State = "draining"
	}
	if e.BootMS < 0 {
		e.BootMS = bootUnknown
	}
	e.CapacityHint = max(0, e.CapacityHint)
}

// gapReader fails once a reader of JSON values has been given more than valueMost bytes without a value's end: a list that
// never ends must not fill the memory.
type entryLimitReader struct {
	r   io.Reader
	gap int
}

func (g *entryLimitReader) Read(b []byte) (int, error) {
	n, err := g.r.Read(b)
	for _, c := range b[:n] {
		if g.gap++; c == '}' {
			g.gap = 0
		}
	}
	if g.gap > maxEntryBytes {
		return n, errors.New("registry: an entry without end")
	}
	return n, err
}
