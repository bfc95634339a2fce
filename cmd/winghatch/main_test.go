package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"winghatch/internal/config"
)

// TestMain runs the command instead of the tests if WINGHATCH_AS_COMMAND is set, so that tests can start it
// as a process.
func TestMain(m *testing.M) {
	if os.Getenv("WINGHATCH_AS_COMMAND") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// run runs the command with args and returns its combined output and its exit code.
func run(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "WINGHATCH_AS_COMMAND=1")
	var b bytes.Buffer
	cmd.Stdout, cmd.Stderr = &b, &b
	err := cmd.Run()
	var e *exec.ExitError
	if err != nil && !errors.As(err, &e) {
		t.Fatal(err)
	}
	return b.String(), cmd.ProcessState.ExitCode()
}

// TestCheckAndGatewayRejectSameSettings guards against a settings file that check accepts and a starting
// gateway rejects. It gives both the same invalid settings and expects the same message and exit code.
func TestCheckAndGatewayRejectSameSettings(t *testing.T) {
	good, err := os.ReadFile("../../examples/small.kdl")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for i, c := range [][2]string{
		{"", ""},
		{`rate "40/s"`, `rate "-40/s"`},
		{"plan=taller", "plan=tall"},
		{"attempts 4", "attempts 0"},
		{`"1500ms" {`, `"1500ms" { x`},
		{"fleet small {", "fleet {"},
		{`aim "1s"; deadline "4s"`, `aim "9s"; deadline "4s"`},
	} {
		file := filepath.Join(dir, string(rune('a'+i))+".kdl")
		os.WriteFile(file, []byte(strings.Replace(string(good), c[0], c[1], 1)), 0o600)
		output, code := run(t, "check", file)
		if i == 0 {
			if code != 0 {
				t.Errorf("check of valid settings: exit code %d, want 0; output: %s", code, output)
			}
			continue
		}
		gatewayOutput, gatewayCode := run(t, "gateway", "--config", file, "--rank", "0")
		if code != 1 || gatewayCode != 1 || output != gatewayOutput || !strings.HasPrefix(output, file+":") {
			t.Errorf("%q: check exits with %d, %s, gateway with %d, %s; want 1 and the same output",
				c[1], code, output, gatewayCode, gatewayOutput)
		}
	}
	out, code := run(t, "gateway", "--config", "../../examples/small.kdl", "--rank", "7")
	if code != 1 || !strings.Contains(out, "rank: 7, want 0 to 0") {
		t.Errorf("gateway with rank 7 of 1: exit code %d, want 1; output: %s", code, out)
	}
}

// TestExampleSettingsAreValid guards against example settings that a change of the parser has made invalid.
func TestExampleSettingsAreValid(t *testing.T) {
	files, _ := filepath.Glob("../../examples/*.kdl")
	if len(files) < 2 {
		t.Fatal("../../examples: want at least two settings files")
	}
	for _, f := range files {
		if _, err := config.Load(f); err != nil {
			t.Error(err)
		}
	}
}

// TestExitCodesOfScenarioCommands guards against exit codes and messages of scenario, verify and replay that
// do not distinguish valid records from damaged ones. It runs a short scenario, verifies and replays its
// records, and then damages them one after the other. It calls the sub-commands by their earlier names, which
// remain as aliases.
func TestExitCodesOfScenarioCommands(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "day.kdl")
	os.WriteFile(file, []byte(`day short { like drain; length "1s"; trouble cut at="300ms" count=2 }`), 0o600)
	rec := filepath.Join(dir, "rec")
	out, code := run(t, "day", file, "--record", rec)
	if code != 0 || !strings.HasSuffix(out, "rules kept: 5 of 5\n") {
		t.Fatalf("scenario: exit code %d, want 0 and all rules kept; output: %s", code, out)
	}
	if out, code := run(t, "audit", rec); code != 0 || !strings.HasSuffix(out, "rules kept: 5 of 5\n") {
		t.Errorf("verify: exit code %d, want 0 and all rules kept; output: %s", code, out)
	}
	tape := filepath.Join(rec, "gateway-0.1.tape")
	if out, code := run(t, "replay", tape); code != 0 || !strings.Contains(out, "all the same") {
		t.Errorf("replay: exit code %d, want 0 and the same actions; output: %s", code, out)
	}
	raw, _ := os.ReadFile(tape)
	os.WriteFile(tape, raw[:len(raw)-3], 0o600)
	if out, code := run(t, "replay", tape); code != 0 || !strings.Contains(out, "truncated inside a record") {
		t.Errorf("replay of a truncated recording: exit code %d, want 0 and a note; output: %s", code, out)
	}
	// With the header of another gateway's recording, and thus another seed, the core makes other decisions
	// than the recorded ones.
	lines := strings.SplitAfterN(string(raw), "\n", 2)
	other, _ := os.ReadFile(filepath.Join(rec, "gateway-1.1.tape"))
	os.WriteFile(tape, []byte(strings.SplitAfterN(string(other), "\n", 2)[0]+lines[1]), 0o600)
	if out, code := run(t, "replay", tape); code != 1 || !strings.Contains(out, "replayed actions") {
		t.Errorf("replay with another seed: exit code %d, want 1 and a mismatch; output: %.200s", code, out)
	}
	traffic := filepath.Join(rec, "traffic.jsonl")
	raw, _ = os.ReadFile(traffic)
	answer := strings.Index(string(raw), `"k":"answer"`)
	begin := strings.LastIndex(string(raw[:answer]), "\n") + 1
	end := answer + strings.Index(string(raw[answer:]), "\n") + 1
	os.WriteFile(traffic, append(append([]byte(nil), raw...), raw[begin:end]...), 0o600)
	if out, code := run(t, "audit", rec); code != 1 || !strings.Contains(out, "has 2 final answers") {
		t.Errorf("verify of records with a repeated answer: exit code %d, want 1; output: %s", code, out)
	}
	if _, code := run(t, "day", "no such day"); code != 2 {
		t.Errorf("scenario that does not exist: exit code %d, want 2", code)
	}
	if _, code := run(t, "audit", dir); code != 2 {
		t.Errorf("verify of a folder without records: exit code %d, want 2", code)
	}
}
