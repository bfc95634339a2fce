package jsonrpc

import (
	"encoding/json"
	"testing"
)

// The client cannot match a response to its request if the response lacks the id. Valid and invalid single
// messages must be told apart, and an invalid message must keep its id if the id itself is valid.
func TestParseSingleMessage(t *testing.T) {
	for in, want := range map[string]struct {
		id           ID
		method       string
		invalid      bool
		notification bool
	}{
		`{"jsonrpc":"2.0","method":"m","id":1}`:                     {"1", "m", false, false},
		`{"jsonrpc":"2.0","method":"m","id":"\u0061"}`:              {`"a"`, "m", false, false},
		`{"jsonrpc":"2.0","method":"m","id":null}`:                  {"null", "m", false, false},
		`{"jsonrpc":"2.0","method":"m","id":-1.5e3,"params":[1]}`:   {"-1.5e3", "m", false, false},
		`{"jsonrpc":"2.0","method":"m"}`:                            {"", "m", false, true},
		`{"jsonrpc":"2.0","method":"m","id":{}}`:                    {"null", "", true, false},
		`{"jsonrpc":"2.0","method":"m","id":true}`:                  {"null", "", true, false},
		`{"jsonrpc":"1.0","method":"m","id":7}`:                     {"7", "", true, false},
		`{"method":"m","id":7}`:                                     {"7", "", true, false},
		`{"jsonrpc":2.0,"method":"m","id":7}`:                       {"7", "", true, false},
		`{"jsonrpc":"2.0","method":1,"id":7}`:                       {"7", "", true, false},
		`{"jsonrpc":"2.0","method":"","id":7}`:                      {"7", "", true, false},
		`{"jsonrpc":"2.0","method":"m","params":"x","id":7}`:        {"7", "", true, false},
		`{"jsonrpc":"2.0","id":7}`:                                  {"7", "", true, false},
		`{"jsonrpc":"2.0","id":7,"result":1,"error":{"code":1}}`:    {"7", "", true, false},
		`{"jsonrpc":"2.0","id":7,"result":null}`:                    {"7", "", false, false},
		`{"jsonrpc":"2.0","id":7,"result":null,"error":{"code":1}}`: {"7", "", false, false},
		`1`: {"null", "", true, false},
	} {
		messages, batch, err := Parse([]byte(in), 10)
		if err != nil || batch || len(messages) != 1 {
			t.Fatalf("%s: got messages %v, error %v, want one message", in, messages, err)
		}
		m := messages[0]
		if m.ID != want.id || m.Method != want.method || m.Invalid != want.invalid ||
			m.IsNotification() != want.notification {
			t.Errorf("%s: got %+v, want %+v", in, m, want)
		}
	}
}

// A batch that is invalid as a whole must result in one error. An invalid message within a batch must not
// affect the other messages. The inputs follow the examples in section 7 of the specification.
func TestParseBatch(t *testing.T) {
	for in, code := range map[string]int{
		`{"jsonrpc": "2.0", "method": "foobar, "params": "bar", "baz]`: CodeParse,
		`[`:         CodeParse,
		``:          CodeParse,
		`[]`:        CodeInvalidRequest,
		`[1,2,3,4]`: CodeInvalidRequest,
	} {
		if _, _, err := Parse([]byte(in), 3); err == nil || err.Code != code {
			t.Errorf("%s: got error %v, want code %d", in, err, code)
		}
	}
	const in = ` [1, {"jsonrpc":"2.0","method":"m"}, {"jsonrpc":"2.0","method":"n","id":"x"}]`
	messages, batch, err := Parse([]byte(in), 3)
	if err != nil || !batch || len(messages) != 3 {
		t.Fatalf("got messages %+v, batch %v, error %v, want a batch of 3", messages, batch, err)
	}
	if !messages[0].Invalid || !messages[1].IsNotification() || messages[2].ID != `"x"` {
		t.Errorf("got %+v, want an invalid message, a notification and a request", messages)
	}
}

// A message would be misread if ForEachMember found other members than encoding/json. Both must find the
// same members in any object.
func FuzzMembers(f *testing.F) {
	f.Add([]byte(` { "a" : [1,{"b":"]}"}] , "\\u0063\\"":-1.5e3,"d":null,"a":"\\\\" } `))
	f.Fuzz(func(t *testing.T, in []byte) {
		var want map[string]json.RawMessage
		if !json.Valid(in) || json.Unmarshal(in, &want) != nil {
			return
		}
		got := map[string]json.RawMessage{}
		ForEachMember(in, func(name string, value json.RawMessage) error {
			got[name] = value
			return nil
		})
		if len(got) != len(want) {
			t.Fatalf("%q: got members %q, want %q", in, got, want)
		}
		for k, v := range want {
			if string(got[k]) != string(v) {
				t.Fatalf("%q: got member %q = %q, want %q", in, k, got[k], v)
			}
		}
	})
}

// For every message with an id that Parse returns, a response with the same id must be valid JSON.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`[{"jsonrpc":"2.0","method":"m","id":1,"params":{}}]`))
	f.Fuzz(func(t *testing.T, in []byte) {
		messages, _, err := Parse(in, 5)
		if err == nil && len(messages) == 0 || len(messages) > 5 {
			t.Fatalf("got %d messages, error %v, want 1 to 5 messages or an error", len(messages), err)
		}
		for _, m := range messages {
			if m.ID == "" {
				continue
			}
			out := AppendError(nil, m.ID, &Error{Code: 1, Message: "\x00\"<"})
			if back, _, err := Parse(out, 1); err != nil || !json.Valid(out) || back[0].ID != m.ID {
				t.Fatalf("response to %q is %q, want valid JSON with the id of the request", in, out)
			}
		}
	})
}
