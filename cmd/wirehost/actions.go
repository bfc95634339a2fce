package main

import (
	"fmt"

	"winghatch/decide"
)

// message is a message from a gateway to the simulator. The value of "m" is its kind.
type message = map[string]any

// wireAction returns the message for an action, or a Bug message for an unknown action.
func wireAction(a decide.Action) any {
	switch a := a.(type) {
	case decide.Send:
		return message{"m": "Assign", "Xid": a.ID, "Server": a.Server, "AllowForNs": int64(a.Timeout)}
	case decide.Cancel:
		return message{"m": "Withdraw", "Xid": a.ID, "Trial": a.Attempt}
	case decide.Reject:
		return message{"m": "Busy", "Xid": a.ID, "RetryInNs": int64(a.RetryAfter)}
	case decide.Fail:
		return message{"m": "ReportFailure", "Xid": a.ID}
	case decide.SetTimer:
		return message{"m": "SetAlarm", "FireAtNs": int64(a.At), "Tag": a.Token}
	case decide.SendGossip:
		return message{"m": "Tell", "To": a.To, "Blob": a.Text}
	}
	return bugMessage(fmt.Sprintf("unknown action %T", a))
}

// bugMessage returns a message that reports a fault of the gateway.
func bugMessage(text string) any {
	return struct {
		Kind string `json:"m"`
		Text string `json:"Words"`
	}{"Bug", text}
}
