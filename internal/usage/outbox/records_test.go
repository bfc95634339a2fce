package outbox

import "testing"

// TestEncodeEvent encodes the event of a settlement, whose JSON must not change because receivers depend on
// it. A truncated record must be an error at any length.
func TestEncodeEvent(t *testing.T) {
	s := Settlement{
		Attempt: Attempt{Request: "r", Number: 2, Member: "m", Plan: "p", Class: "k", Server: "n:1", Units: 1,
			Reserved: true},
		Intent:      4,
		Incarnation: 9,
		Sequence:    17,
		Outcome:     OutcomeUnanswered,
		UsedUnits:   1.5,
		WallTime:    1e18,
	}
	event, hasEvent, err := EncodeEvent("a fleet", 3, 5, s.append(nil))
	want := `{"specversion":"1.0","id":"17","source":"/winghatch/a%20fleet/gateway/3/life/9",` +
		`"type":"winghatch.use.v1","time":"2001-09-09T01:46:40Z","subject":"m",` +
		`"datacontenttype":"application/json","data":{"request":"r","attempt":2,"member":"m","plan":"p",` +
		`"class":"k","node":"n:1","units":1.5,"guess":true,"outcome":"unanswered","reserved":true}}`
	if !hasEvent || err != nil || string(event.JSON) != want || event.Record != 5 {
		t.Errorf("got %s, %v, error %v\nwant %s", event.JSON, hasEvent, err, want)
	}
	raw := s.append(nil)
	for n := 1; n < len(raw); n++ {
		if _, err := parseRecord(raw[:n]); err == nil {
			t.Fatalf("record truncated to %d of %d bytes was accepted", n, len(raw))
		}
	}
}

// FuzzParseRecord decodes arbitrary bytes as a record and as a snapshot, which may fail but must not panic.
func FuzzParseRecord(f *testing.F) {
	s := Settlement{Attempt: Attempt{Request: "r"}, Sequence: 1}
	f.Add(s.append(nil))
	f.Add(append([]byte{kindIntent}, s.Attempt.append(nil)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		parseRecord(b)
		EncodeEvent("f", 1, 1, b)
		New(Settings{}).RestoreSnapshot(b)
	})
}
