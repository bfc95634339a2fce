package config

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"winghatch/decide"
	"winghatch/internal/config/decode"
	"winghatch/internal/credentials"
)

const secret = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

var digest = credentials.Secret{}.MemberKeyHasher().Sum([]byte("k")).String()

// validDocument returns a valid document that TestInvalidDocument changes.
func validDocument() string {
	return `fleet "t" {
    secret "` + secret + `"
    list "127.0.0.1:7000"
    intake "40/s"
    zone north
    class look effect=safe { aim "1s"; deadline "4s" }
    class submit effect=keyed group=zone window="1.5s" { aim "1s"; deadline "2s"; worth 2 }
    plan small { rate "90/min"; burst 6 }
    plan top { rate "10/s"; burst 20; ceiling-rate "20/s"; ceiling-burst 40; ceiling-slack 4; max-open 9 }
    limits attempts=3 { peers #true }
    safety { cold-from 0.2; cold-for "14s"; fall-multiple 4; fall-window "1s" }
    caps message="64KiB" open=100
    gateway zone=north listen="127.0.0.1:7001" peer="127.0.0.1:7101"
    gateway zone=north listen="127.0.0.1:7002" peer="127.0.0.1:7102"
    member escuela plan=small first=1 spread=2 { key "` + digest + `" }
}
`
}

// A setting that is read into the wrong field or unit, or that Format writes differently from what was read,
// changes the behavior of a gateway unnoticed. The test checks settings of several kinds, and that the output
// of Format reads back as an equal Fleet.
func TestDocumentIsReadAndWritten(t *testing.T) {
	f, err := Parse("f", []byte(validDocument()))
	if err != nil {
		t.Fatal(err)
	}
	if f.Decide.Plans[0].Rate != 1.5 || f.Decide.Classes[1].DedupScope != decide.DedupInZone ||
		f.Decide.Classes[1].DedupWindow != 1500*time.Millisecond ||
		f.Caps.MaxMessageBytes != 64<<10 || f.Members[0].First != 1 {
		t.Errorf("got fleet %+v", f)
	}
	back, err := Parse("f", Format(f))
	if err != nil || !reflect.DeepEqual(f, back) {
		t.Errorf("read back from Format: error %v\nwant %+v\ngot  %+v", err, f, back)
	}
}

// An invalid setting must be rejected, with an error that gives its position, field and value. Each case
// makes one change to a valid document: the text to replace, its replacement, and part of the expected error.
func TestInvalidDocument(t *testing.T) {
	for _, c := range [][3]string{
		{`intake "40/s"`, `intake "-1/s"`, `f:4:12: intake: "-1/s", want a rate`},
		{`intake "40/s"`, `intake "40/day"`, `want a rate`},
		{`intake "40/s"`, ``, `intake: missing`},
		{`intake "40/s"`, `intake "1/s"; intake "1/s"`, `already given at line 4`},
		{`aim "1s"; deadline "4s"`, `aim "1s"`, `f:6:5: class look.deadline: missing`},
		{`aim "1s"; deadline "4s"`, `aim "5s"; deadline "4s"`, `want the aim of 5s or more`},
		{`aim "1s"; deadline "4s"`, `aim 1; deadline "4s"`, `class look.aim: 1, want a duration`},
		{`aim "1s"; deadline "4s"`, `aim "-1s"; deadline "4s"`, `want a duration`},
		{`aim "1s"; deadline "4s"`, `ain "1s"; deadline "4s"`,
			`"ain" is not known, the nearest known name is "aim"`},
		{`effect=safe`, `effect=saef`, `want one of keyed, safe, unsafe`},
		{`effect=safe`, `effect=safe window="1s"`, `not keyed, but window`},
		{`window="1.5s"`, ``, `window: missing, required because the effect is keyed`},
		{`worth 2`, `worth #nan`, `class submit.worth: #nan, want a number`},
		{`worth 2`, `worth #inf`, `want a number`},
		{`worth 2`, `worth -2`, `want a number of 0 or more`},
		{`worth 2`, `worth 2 3`, `2 values, want exactly one`},
		{`worth 2`, `worth #null`, `#null, want a number`},
		{`plan top`, `plan small`, `"small", the name is already used`},
		{`plan top {`, `plan {`, `0 values, want one name`},
		{`burst 6`, ``, `plan small.burst: rate 1.5 and burst 0, want both`},
		{`ceiling-rate "20/s"`, `ceiling-rate "5/s"`, `want the rate of 10 or more`},
		{`max-open 9`, `max-open 1.5`, `want a whole number`},
		{`cold-from 0.2`, `cold-from 2`, `want a number from 0 to 1`},
		{`fall-window "1s"`, ``, `safety.fall-window is 0s, want more than 0`},
		{`attempts=3`, `attempts=0`, `want a whole number from 1 to 100`},
		{`message="64KiB"`, `message="64KB"`, `want a size`},
		{`listen="127.0.0.1:7001"`, `listen="127.0.0.1"`, `want an address`},
		{`listen="127.0.0.1:7001"`, ``, `gateway.listen: missing`},
		{` peer="127.0.0.1:7101"`, ``, `gateway[0].peer: missing`},
		{`gateway zone=north listen`, `gateway zone=south listen`, `"south", want one of north`},
		{`plan=small`, `plan=smal`, `"smal", want one of small, top`},
		{`spread=2`, `spread=3`, `want gateways 0 to 1`},
		{`first=1`, `first=2`, `want gateways 0 to 1`},
		{digest, digest[:40], `64 hexadecimal`},
		{secret, secret[2:], `62 characters, want 64`},
		{`zone north`, `zoon north`, `nearest known name is "zone"`},
		{`fleet "t"`, `flet "t"`, `"flet" is not known`},
		{"}\n}\n", "}\n", `f:`},
	} {
		in := strings.Replace(validDocument(), c[0], c[1], 1)
		if in == validDocument() {
			t.Fatalf("the valid document does not contain %q", c[0])
		}
		if _, err := Parse("f", []byte(in)); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%q in place of %q: got error %v, want one with %q", c[1], c[0], err, c[2])
		}
	}
}

// If only the first error of a document were reported, an operator would need one run per error. All errors
// must be returned together, sorted by position.
func TestAllErrorsAreReported(t *testing.T) {
	in := strings.NewReplacer(`"40/s"`, `"x"`, `worth 2`, `worth x`, `open=100`, `open=0`).
		Replace(validDocument())
	_, err := Parse("f", []byte(in))
	errs, ok := err.(decode.Errors)
	if !ok || len(errs) != 3 || errs[0].Pos.Line != 4 || errs[1].Pos.Line != 7 || errs[2].Pos.Line != 12 {
		t.Errorf("got errors %v, want one each at lines 4, 7 and 12", err)
	}
}

// Names that need escapes and numbers that need all their digits must not change when a fleet is written and
// read back. The test does so with random fleets.
func TestRandomFleetRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := defaults()
		name := rapid.StringN(1, 8, -1)
		f.Name = name.Draw(t, "name")
		f.Secret = credentials.Secret(rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "secret"))
		n := rapid.IntRange(1, 4).Draw(t, "gateways")
		for i := range n {
			f.Gateways = append(f.Gateways, Gateway{Listen: "127.0.0.1:" + []string{"1", "2", "3", "4"}[i]})
		}
		f.Decide.Gateways = n
		num := rapid.Float64Range(0, 1e6)
		aim := time.Duration(rapid.Int64Range(1e6, 1e12).Draw(t, "aim"))
		f.Decide.Classes = []decide.Class{{
			Name:             name.Draw(t, "class"),
			Idempotency:      decide.Idempotent,
			DedupScope:       decide.DedupInFleet,
			LatencyObjective: aim,
			Deadline:         2 * aim,
			PriorityWeight:   num.Draw(t, "worth"),
		}}
		f.Decide.Plans = []decide.Plan{{
			Name:           name.Draw(t, "plan"),
			Rate:           1 + num.Draw(t, "rate"),
			Burst:          1 + num.Draw(t, "burst"),
			PriorityWeight: num.Draw(t, "price"),
		}}
		f.Members = []Member{{Name: name.Draw(t, "member"), Plan: f.Decide.Plans[0].Name, Spread: n,
			Keys: []credentials.Digest{f.Secret.MemberKeyHasher().Sum(nil)}}}
		back, err := Parse("f", Format(f))
		if err != nil || !reflect.DeepEqual(f, back) {
			t.Fatalf("read back: error %v\n%s\nwant %+v\ngot  %+v", err, Format(f), f, back)
		}
	})
}

// If Format left out a setting, a written document would have its default instead. The test reads a document
// in the form of Format that sets every block to values other than the defaults, including settings that
// nothing uses. Format must return the same bytes.
func TestFormatWritesEverySetting(t *testing.T) {
	want, err := os.ReadFile("testdata/every-block.kdl")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse("every-block.kdl", want)
	if err != nil {
		t.Fatal(err)
	}
	if got := Format(f); !bytes.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
