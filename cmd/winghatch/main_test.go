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

// TestMain is also the command itself.
func TestMain(m *testing.M) {
	if os.Getenv("WINGHATCH_AS_COMMAND") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

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

// TestCheckAndGatewayAgree gives check and gateway the same settings. Whatever check rejects, the gateway rejects
// with the same text, so that a checked file starts.
func TestCheckAndGatewayAgree(t *testing.T) {
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
		said, code := run(t, "check", file)
		if i == 0 {
			if code != 0 {
				t.Errorf("a good file: %d %s", code, said)
			}
			continue
		}
		gw, gwCode := run(t, "gateway", "--config", file, "--rank", "0")
		if code != 1 || gwCode != 1 || said != gw || !strings.HasPrefix(said, file+":") {
			t.Errorf("%q: check %d %s, gateway %d %s", c[1], code, said, gwCode, gw)
		}
	}
	out, code := run(t, "gateway", "--config", "../../examples/small.kdl", "--rank", "7")
	if code != 1 || !strings.Contains(out, "rank: 7, want 0 to 0") {
		t.Errorf("%d %s", code, out)
	}
}

// TestExamples loads all example settings.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../examples/*.kdl")
	if len(files) < 2 {
		t.Fatal("no examples")
	}
	for _, f := range files {
		if _, err := config.Load(f); err != nil {
			t.Error(err)
		}
	}
}

// TestExitCodes runs a short scenario, verifies it again and replays its recordings; then it damages them. Sub-commands
// are called by their earlier names, which stay as aliases.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "day.kdl")
	os.WriteFile(file, []byte(`day short { like drain; length "1s"; trouble cut at="300ms" count=2 }`), 0o600)
	rec := filepath.Join(dir, "rec")
	out, code := run(t, "day", file, "--record", rec)
	if code != 0 || !strings.HasSuffix(out, "rules kept: 5 of 5\n") {
		t.Fatalf("%d %s", code, out)
	}
	if out, code := run(t, "audit", rec); code != 0 || !strings.HasSuffix(out, "rules kept: 5 of 5\n") {
		t.Errorf("%d %s", code, out)
	}
	tape := filepath.Join(rec, "gateway-0.1.tape")
	if out, code := run(t, "replay", tape); code != 0 || !strings.Contains(out, "all the same") {
		t.Errorf("%d %s", code, out)
	}
	raw, _ := os.ReadFile(tape)
	os.WriteFile(tape, raw[:len(raw)-3], 0o600)
	if out, code := run(t, "replay", tape); code != 0 || !strings.Contains(out, "truncated inside a record") {
		t.Errorf("%d %s", code, out)
	}
	// With another seed the core decides otherwise.
	lines := strings.SplitAfterN(string(raw), "\n", 2)
	other, _ := os.ReadFile(filepath.Join(rec, "gateway-1.1.tape"))
	os.WriteFile(tape, []byte(strings.SplitAfterN(string(other), "\n", 2)[0]+lines[1]), 0o600)
	if out, code := run(t, "replay", tape); code != 1 || !strings.Contains(out, "replayed actions") {
		t.Errorf("%d %.200s", code, out)
	}
	traffic := filepath.Join(rec, "traffic.jsonl")
	raw, _ = os.ReadFile(traffic)
	answer := strings.Index(string(raw), `"k":"answer"`)
	begin := strings.LastIndex(string(raw[:answer]), "\n") + 1
	end := answer + strings.Index(string(raw[answer:]), "\n") + 1
	os.WriteFile(traffic, append(append([]byte(nil), raw...), raw[begin:end]...), 0o600)
	if out, code := run(t, "audit", rec); code != 1 || !strings.Contains(out, "has 2 final answers") {
		t.Errorf("%d %s", code, out)
	}
	if _, code := run(t, "day", "no such day"); code != 2 {
		t.Errorf("a scenario that does not exist: %d", code)
	}
	if _, code := run(t, "audit", dir); code != 2 {
		t.Errorf("a folder without records: %d", code)
	}
}
