package main

import (
	"encoding/json"
	"testing"

	"winghatch/decide"
)

// unknownAction is an action without a message.
type unknownAction struct{ decide.Action }

// TestActionEncoding guards against changes of the messages that the simulator reads. It compares the JSON of
// each action with a fixed text.
func TestActionEncoding(t *testing.T) {
	for want, action := range map[string]decide.Action{
		`{"AllowForNs":5,"Server":"s","Xid":"x","m":"Assign"}`:    decide.Send{ID: "x", Server: "s", Timeout: 5},
		`{"Trial":2,"Xid":"x","m":"Withdraw"}`:                    decide.Cancel{ID: "x", Attempt: 2},
		`{"RetryInNs":7,"Xid":"x","m":"Busy"}`:                    decide.Reject{ID: "x", RetryAfter: 7},
		`{"Xid":"x","m":"ReportFailure"}`:                         decide.Fail{ID: "x"},
		`{"FireAtNs":9,"Tag":9007199254740993,"m":"SetAlarm"}`:    decide.SetTimer{At: 9, Token: 9007199254740993},
		`{"Blob":"hi","To":1,"m":"Tell"}`:                         decide.SendGossip{To: 1, Text: "hi"},
		`{"m":"Bug","Words":"unknown action main.unknownAction"}`: unknownAction{},
	} {
		if got, err := json.Marshal(wireAction(action)); err != nil || string(got) != want {
			t.Errorf("%#v: got %s, %v, want %s", action, got, err, want)
		}
	}
}
