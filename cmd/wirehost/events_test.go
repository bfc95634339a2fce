package main

import (
	"reflect"
	"testing"

	"winghatch/decide"
)

// TestEventDecoding guards against fields of a message that are lost or assigned to the wrong field of an
// event. It decodes one message of each kind. Kinds without an event must give nil and no error.
func TestEventDecoding(t *testing.T) {
	for _, c := range []struct {
		kind, raw string
		want      decide.Event
	}{
		{
			kind: "Headers",
			raw:  `{"Xid":"x","Trial":1,"DurationNs":5,"Server":"s"}`,
			want: decide.ResponseStarted{ID: "x", Server: "s", Attempt: 1, Duration: 5},
		},
		{
			kind: "ClientLeft",
			raw:  `{"Xid":"x"}`,
			want: decide.ClientDisconnected{ID: "x"},
		},
		{
			kind: "Elapsed",
			raw:  `{"Tag":9223372036854775808}`,
			want: decide.TimerFired{Token: 1 << 63},
		},
		{
			kind: "Datagram",
			raw:  `{"Src":2,"Blob":"hi"}`,
			want: decide.GossipReceived{From: 2, Text: "hi"},
		},
		{
			kind: "Tallied", // answers a message that the gateway never sends
			raw:  `{"Counter":9007199254740993,"StateCode":4,"NowAt":3.5,"DurationNs":2}`,
			want: nil,
		},
		{
			kind: "Query",
			raw: `{"Xid":"x","Tier":"p","DeadlineNs":5,"EntryPoints":3,"AgainByClient":true,"SizeUnits":2,"FromNo":1,` +
				`"Mutates":true,"Type":"k","Account":"a"}`,
			want: decide.Request{
				ID:           "x",
				Class:        "k",
				Plan:         "p",
				Customer:     "a",
				Units:        2,
				Deadline:     5,
				FirstGateway: 1,
				GatewayCount: 3,
				IsRetry:      true,
				Mutates:      true,
			},
		},
		{
			kind: "Returned",
			raw: `{"Xid":"x","Trial":1,"Server":"s","StateCode":6,"DurationNs":4,"Metered":86,"Actual":3,` +
				`"ServerStats":{"recent_ms":2,"odd":1}}`,
			want: decide.AttemptEnded{
				ID:            "x",
				Server:        "s",
				Attempt:       1,
				Outcome:       decide.OutcomeReset,
				Duration:      4,
				ReportedUsage: 86,
				ActualUnits:   3,
				LoadReport:    decide.LoadReport{"latency_ms": 2, "odd": 1},
			},
		},
		{
			kind: "Sampled", // answers a message that the gateway never sends
			raw:  `{"Server":"s","StateCode":1,"ServerStats":{"utilization":0.5}}`,
			want: nil,
		},
		{
			kind: "PeersKnown",
			raw: `{"Kind":"patch","Stamp":4,"NodesList":[{"StartTimeNs":6,"Model":"m","Az":"z","StageState":"LAME",` +
				`"Server":"s","Stripe":2,"CapacityHint":1.5}]}`,
			want: decide.EndpointUpdate{Kind: decide.DeltaUpdate, Version: 4, Servers: []decide.Server{
				{ID: "s", Zone: "z", Cell: 2, Kind: "m", State: decide.Draining, StartedAt: 6, Weight: 1.5},
			}},
		},
	} {
		got, err := parseEvent(c.kind, []byte(c.raw))
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %#v, %v, want %#v", c.kind, got, err, c.want)
		}
	}
}
