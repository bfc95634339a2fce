package main

import (
	"fmt"

	"winghatch/decide"
)

// message is a message of a gateway to the simulator. Its kind is the value of "m".
type message = map[string]any

// wireAction returns an action as a message.
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

// bugMessage reports a fault of the gateway.
func bugMessage(text string) any {
	return struct {
		Kind string `json:"m"`
		Text string `json:"Words"`
	}{"Bug", text}
}
