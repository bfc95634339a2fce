package gateway

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestJSONKeys guards against renamed, reordered or lost keys in the JSON that operators read and send. Tools
// of other versions and scripts depend on these keys, so a renamed field must keep its key. New keys are
// added to the files in testdata by hand.
func TestJSONKeys(t *testing.T) {
	for _, test := range []struct {
		file  string
		value any
	}{
		{"state-keys.txt", new(State)},
		{"history-keys.txt", new(History)},
		{"change-keys.txt", new(changeJSON)},
	} {
		t.Run(test.file, func(t *testing.T) {
			fill(t, reflect.ValueOf(test.value).Elem())
			raw, err := json.Marshal(test.value)
			if err != nil {
				t.Fatal(err)
			}
			want, err := os.ReadFile(filepath.Join("testdata", test.file))
			if err != nil {
				t.Fatal(err)
			}
			if got := strings.Join(keyPaths(t, raw), "\n") + "\n"; got != string(want) {
				t.Errorf("keys are\n%s\nwant\n%s", got, want)
			}
			// A field that a hand-written conversion omits is decoded as empty.
			back := reflect.New(reflect.TypeOf(test.value).Elem())
			if err := json.Unmarshal(raw, back.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(back.Interface(), test.value) {
				t.Errorf("decoded as\n%+v\nwant\n%+v", back.Elem(), reflect.ValueOf(test.value).Elem())
			}
		})
	}
}

// fill sets every field to a value other than zero, and every slice and map to one element.
func fill(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key)
		fill(t, value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("1")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1)
	case reflect.Int, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint64:
		v.SetUint(1)
	default:
		t.Fatalf("no value for a %v", v.Type())
	}
}

// keyPaths returns the keys of a JSON text in their order, each with the path of the keys that enclose it.
func keyPaths(t *testing.T, raw []byte) (paths []string) {
	t.Helper()
	dec := json.NewDecoder(bytes.NewReader(raw))
	token := func() json.Token {
		tok, err := dec.Token()
		if err != nil {
			t.Fatal(err)
		}
		return tok
	}
	var walk func(at string)
	walk = func(at string) {
		switch token() {
		case json.Delim('{'):
			for dec.More() {
				path := at + "." + token().(string)
				paths = append(paths, path[1:])
				walk(path)
			}
			token()
		case json.Delim('['):
			for dec.More() {
				walk(at + "[]")
			}
			token()
		}
	}
	walk("")
	return paths
}
