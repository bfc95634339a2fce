package scenario

import (
	"strings"
	"testing"
)

// TestBuiltinScenariosCoverEveryFault guards against a built-in scenario that cannot be parsed, and against a
// kind of fault that no built-in scenario uses.
func TestBuiltinScenariosCoverEveryFault(t *testing.T) {
	covered := map[string]bool{}
	for _, name := range BuiltinNames() {
		s, err := Open(name)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, f := range s.Faults {
			covered[f.Kind] = true
		}
	}
	for kind := range faultKinds {
		if !covered[kind] {
			t.Errorf("no built-in scenario uses the fault %s", kind)
		}
	}
}

// TestParseErrorsNamePositionAndCause guards against an invalid script that is accepted, or whose error does
// not name the file, the line and the expected value.
func TestParseErrorsNamePositionAndCause(t *testing.T) {
	for in, want := range map[string]string{
		``:                                 `want one node named "day"`,
		`day x {}`:                         "want a fleet, nodes and a load",
		`day x { like nothing }`:           `"nothing", want another of the built-in scenarios`,
		`day x { like drain; length "x" }`: "want a duration",
		`day x { like drain; trouble rain at="1s" }`:                     "want one of",
		`day x { like drain; trouble slow }`:                             "trouble slow.at: missing",
		`day x { like drain; trouble slow at="1s" count=0 }`:             "want a whole number",
		`day x { like drain; trouble class_fail at="1s" }`:               "class: missing",
		`day x { like drain; trouble class_fail at="1s" class=nothing }`: "want a class of the fleet",
		`day x { like drain; load rate="1/s" }`:                          "fleet, nodes and load, want none",
	} {
		_, err := Parse("f", []byte(in))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "f:1:") {
			t.Errorf("Parse(%s): got error %v, want prefix \"f:1:\" and %q", in, err, want)
		}
	}
}
