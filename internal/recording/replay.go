package recording

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"time"

	"winghatch/decide"
)

// ReplayResult counts what was replayed.
type ReplayResult struct {
	Events, Actions int
	ByKind          map[string]int  // events and actions by the stored name of their type
	Truncated       *TruncatedError // where the recording is truncated or damaged; nil: it is complete
}

// MismatchError reports the first record at which the fresh core returned other actions than were recorded.
type MismatchError struct {
	Record int // from 1, the first behind the header
	At     time.Duration
	Event  decide.Event
	Want   []decide.Action // recorded
	Got    []decide.Action // returned by the fresh core
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("recording: record %d at %v: %T%+v: the recording has %+v, this core does %+v",
		e.Record, e.At, e.Event, e.Event, e.Want, e.Got)
}

// Replay replays a recording into a fresh core and stops at the first difference, with a *MismatchError. A
// truncated recording is no error: it is replayed as far as it is intact, and the result says so.
func Replay(in io.Reader) (ReplayResult, error) {
	result := ReplayResult{ByKind: map[string]int{}}
	reader, err := NewReader(in)
	if err != nil {
		return result, err
	}
	core, err := decide.New(reader.Config, reader.Seed)
	if err != nil {
		return result, fmt.Errorf("recording: line 1: %w", err)
	}
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) || errors.As(err, &result.Truncated) {
			return result, nil
		}
		if err != nil {
			return result, err
		}
		result.Events++
		got := core.Handle(record.At, record.Event)
		if !equalActions(got, record.Actions) {
			return result, &MismatchError{result.Events, record.At, record.Event, record.Actions, got}
		}
		result.count(record.Event, got)
	}
}

// equalActions compares element by element; no actions are equal whether the slice is nil or empty.
func equalActions(a, b []decide.Action) bool {
	if len(a) == 0 && len(b) == 0 {
		return true
	}
	return reflect.DeepEqual(a, b)
}

func (r *ReplayResult) count(event decide.Event, actions []decide.Action) {
	r.Actions += len(actions)
	r.countKind(event)
	for _, action := range actions {
		r.countKind(action)
	}
}

func (r *ReplayResult) countKind(v any) {
	kind, _ := storedKind(v)
	r.ByKind[kind]++
}
