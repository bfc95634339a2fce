package http

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// An answer that is no list must change nothing, and what was missed is asked for again.
func TestListsThatCantBeBelieved(t *testing.T) {
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
			t.Errorf("%s was believed", bad)
		}
	}
}

// One entry of a list was malformed, and the whole list was refused: no change of any server was known any more. Such
// an entry gets no new attempts and must not hide the others.
func TestEntriesThatCantBeUsed(t *testing.T) {
	for _, c := range []struct{ bad, state string }{ // the state of a; "": the entry is left out
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
		{targetJSON("a", "ready") + "," + targetJSON("a", "gone"), "gone"}, // in the order of what happened
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
		if last := l.Targets[len(l.Targets)-1]; got != c.state || last.UID != "b" || last.State != "draining" {
			t.Errorf("%s: %+v, want a as %q and b draining", c.bad, l.Targets, c.state)
		}
	}
}

// endlessReader repeats a text without end.
type endlessReader struct {
	text string
	at   int
}

func (e *endlessReader) Read(b []byte) (n int, err error) {
	for n < len(b) {
		k := copy(b[n:], e.text[e.at:])
		n += k
		e.at = (e.at + k) % len(e.text)
	}
	return n, nil
}

// A list that never ends must not fill the memory, whatever it repeats.
func TestListsWithoutEnd(t *testing.T) {
	const start = `{"rev":1,"all":true,"targets":[`
	for _, text := range []string{" ", "x", `"`, "[", `{"uid":`} {
		body := io.MultiReader(strings.NewReader(start), &endlessReader{text: text})
		if _, _, err := decode(body); err == nil {
			t.Errorf("a list that ends in %q without end was read", text)
		}
	}
	n := 0
	many := readerFunc(func(b []byte) (int, error) {
		n++
		return copy(b, fmt.Sprintf(`{"uid":"s%d","state":"gone"},`, n)), nil
	})
	if _, _, err := decode(io.MultiReader(strings.NewReader(start), many)); err == nil || n > maxTargets+2 {
		t.Errorf("%v behind %d entries, want an error", err, n)
	}
}

type readerFunc func(b []byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
