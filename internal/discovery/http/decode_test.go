package http

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// Guards against applying a response that is not a valid list. Such a response must change nothing, and the
// missed changes must be requested again.
func TestInvalidListIsIgnored(t *testing.T) {
	for _, bad := range []string{
		"{",
		listJSON(40, false, targetJSON("a", "draining")),
		"hang up",
		`{"rev":42,"all":true}`,
		`[]`,
		`{"rev":42,"all":false,"targets":7}`,
		listJSON(42, true, targetJSON("a", "ready")) + "}",
		`{"rev":"x","all":true,"targets":[]}`,
		listJSON(42, false, `{"uid":"a"`),
	} {
		w := startWatch(t, Options{}, listJSON(41, true, targetJSON("a", "ready")), bad,
			listJSON(44, true, targetJSON("c", "ready")))
		receive(t, w.lists)
		if l := receive(t, w.lists); l.Rev != 44 {
			t.Errorf("the invalid list %s was applied, want the next list with rev 44", bad)
		}
	}
}

// Guards against one malformed entry that hides the changes of all servers: once, the whole list was rejected
// for it. The server of such an entry gets no new attempts, and the other entries are applied.
func TestInvalidEntryDoesNotHideOthers(t *testing.T) {
	// state is the resulting state of server a, or empty if the entry is omitted.
	for _, c := range []struct{ bad, state string }{
		{targetJSON("a", "asleep"), "draining"},
		{targetJSON("", "ready"), ""},
		{targetJSON(strings.Repeat("a", maxUIDBytes+1), "ready"), ""},
		{`{"uid":"a","endpoint":"nowhere","state":"ready"}`, "draining"},
		{`{"uid":"a","endpoint":"nowhere","state":"gone"}`, "gone"},
		{`{"uid":"a","endpoint":"h:1","state":"ready","boot_ms":-1}`, "draining"},
		{`{"uid":"a","endpoint":"h:1","state":"ready","boot_ms":"x"}`, "draining"},
		{`{"uid":"a","endpoint":"h:1","state":"ready","capacity_hint":-1}`, "draining"},
		{`{"uid":7,"endpoint":"h:1","state":"ready"}`, ""},
		{`{"uid":"a","endpoint":"h:1","state":7}`, "draining"},
		{`7`, ""},
		{`null`, ""},
		{targetJSON("a", "ready") + "," + targetJSON("a", "gone"), "gone"}, // the later entry counts
	} {
		w := startWatch(t, Options{}, listJSON(41, true, targetJSON("a", "ready"), targetJSON("b", "ready")),
			listJSON(42, false, c.bad, targetJSON("b", "draining")))
		receive(t, w.lists)
		l := receive(t, w.lists)
		got := ""
		for _, target := range l.Targets {
			if target.UID == "a" {
				got = target.State
			}
		}
		if last := l.Targets[len(l.Targets)-1]; got != c.state || last.UID != "b" ||
			last.State != "draining" {
			t.Errorf("entry %s: list %+v, want server a with state %q and b draining",
				c.bad, l.Targets, c.state)
		}
	}
}

// endlessReader repeats a text forever.
type endlessReader struct {
	text   string
	offset int // of the next byte in text
}

func (e *endlessReader) Read(b []byte) (n int, err error) {
	for n < len(b) {
		copied := copy(b[n:], e.text[e.offset:])
		n += copied
		e.offset = (e.offset + copied) % len(e.text)
	}
	return n, nil
}

// Guards against a list that never ends and so exhausts the memory, whether a single entry or the number of
// entries is unlimited.
func TestEndlessListIsRejected(t *testing.T) {
	const start = `{"rev":1,"all":true,"targets":[`
	for _, text := range []string{" ", "x", `"`, "[", `{"uid":`} {
		body := io.MultiReader(strings.NewReader(start), &endlessReader{text: text})
		if _, _, err := decode(body); err == nil {
			t.Errorf("a list with an endless repetition of %q was decoded without an error", text)
		}
	}
	n := 0
	many := readerFunc(func(b []byte) (int, error) {
		n++
		return copy(b, fmt.Sprintf(`{"uid":"s%d","state":"gone"},`, n)), nil
	})
	if _, _, err := decode(io.MultiReader(strings.NewReader(start), many)); err == nil || n > maxTargets+2 {
		t.Errorf("error %v after %d entries, want an error after at most maxTargets+2", err, n)
	}
}

// readerFunc implements io.Reader by a function.
type readerFunc func(b []byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
