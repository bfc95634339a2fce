package platform

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// configText returns a valid configuration file with the given settings.
func configText(settings string) string {
	return `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2",` +
		`"limits":{"cores":1,"memory_mb":64,"sockets":256},"seed":"1f","settings":` + settings + `}`
}

// Guards against errors that do not lead operators to the faulty field. The error of an invalid configuration
// must name the field and its value.
func TestConfigurationErrorsNameField(t *testing.T) {
	validConfig := configText(settingsText)
	if _, err := parse([]byte(validConfig)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, `"listen" is "here"`},
		{`"discovery":"127.0.0.1:2"`, `"discovery":""`, `"discovery" is ""`},
		{`"memory_mb":64`, `"memory_mb":-1`, `"limits.memory_mb" is -1`},
		{`"sockets":256`, `"sockets":8`, `"limits.sockets" is 8`},
		{`"memory_mb":64`, `"memory_mb":"much"`, `limits.memory_mb`},
		{`"seed":"1f"`, `"seed":"xyz"`, `"seed" is "xyz"`},
		{`"Effect":"safe"`, `"Effect":"odd"`, `Classes[0].Effect`},
		{`"AimNs":2000000000`, `"AimNs":"soon"`, "AimNs"},
		{`"SendCap":5`, `"SendCap":0`, "Limits.SendCap is 0"},
		{`"Instances":1`, `"Instances":0`, "Instances is 0"},
		{`"seed":"1f"`, `"known":{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"h:1","state":"odd"}]}`,
			`targets[0].state is "odd"`},
	} {
		text := strings.Replace(validConfig, c.from, c.to, 1)
		if text == validConfig || !json.Valid([]byte(text)) {
			t.Fatalf("%s is not in the configuration, or its replacement is not valid JSON", c.from)
		}
		if _, err := parse([]byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %s", c.to, err, c.want)
		}
	}
	_, err := Load(filepath.Join(t.TempDir(), "none.json"))
	if err == nil || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("missing file: got error %v, want one that contains none.json", err)
	}
}

// Guards against a start with settings that the gateway cannot use. The error must name the file, the field
// and its value.
func TestSettingsErrorsNameFileAndField(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"GiveUpNs":4000000000,"Importance":1,"WindowNs":0`, `"GiveUpNs":0,"Importance":1,"WindowNs":0`,
			`Classes[0].GiveUpNs is 0`},
		{`"WindowNs":0`, `"WindowNs":-5`, `Classes[0].WindowNs is -5`},
		{`"Name":"pay"`, `"Name":"get"`, `Classes[1].Name is "get"`},
		{`"Name":"small"`, `"Name":"team"`, `TiersOfService[1].Name is "team"`},
		{`"ConnIdleNs":30000000000`, `"ConnIdleNs":-1`, `Limits.ConnIdleNs is -1`},
		{`"ConnectTimeoutNs":250000000`, `"ConnectTimeoutNs":-1`, `Limits.ConnectTimeoutNs is -1`},
	} {
		file := filepath.Join(t.TempDir(), "config.json")
		text := strings.Replace(settingsText, c.from, c.to, 1)
		if text == settingsText {
			t.Fatalf("the settings do not contain %s", c.from)
		}
		os.WriteFile(file, []byte(configText(text)), 0o600)
		_, err := Load(file)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), file) {
			t.Errorf("%s: got error %v, want one that contains the file name and %s", c.to, err, c.want)
		}
	}
}
