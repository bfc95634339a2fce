package recording

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"time"

	"winghatch/decide"
)

// ReplayResult counts the events and actions that were replayed.
type ReplayResult struct {
	Events, Actions int             // numbers of events and of actions
	ByKind          map[string]int  // number of events and actions per stored type name
	Truncated       *TruncatedError // position of truncation or damage; nil if the recording is complete
}

// MismatchError reports the first record for which the new core returned actions other than the recorded
// ones.
type MismatchError struct {
	Record int           // record number; the first one after the header is 1
	At     time.Duration // time of the event on the recorded gateway's monotonic clock
	Event  decide.Event
	Want   []decide.Action // actions in the recording
	Got    []decide.Action // actions returned by the new core
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("recording: record %d at %v: event %T%+v: recorded actions %+v, replayed actions %+v",
		e.Record, e.At, e.Event, e.Event, e.Want, e.Got)
}

// Replay replays a recording into a new core. It stops at the first record whose actions differ and returns a
// *MismatchError. A truncated or damaged recording is not an error: its intact part is replayed and
// ReplayResult.Truncated states where that part ends.
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

// equalActions compares two lists of actions element by element. A nil slice equals an empty one.
func equalActions(a, b []decide.Action) bool {
	if len(a) == 0 && len(b) == 0 {
		return true
	}
	return reflect.DeepEqual(a, b)
}

// count adds an event and its actions to the result.
func (r *ReplayResult) count(event decide.Event, actions []decide.Action) {
	r.Actions += len(actions)
	r.countKind(event)
	for _, action := range actions {
		r.countKind(action)
	}
}

// countKind adds one event or action to the count of its kind.
func (r *ReplayResult) countKind(v any) {
	kind, _ := storedKind(v)
	r.ByKind[kind]++
}
