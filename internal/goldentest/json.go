package goldentest

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// CheckJSON compares a value's JSON with testdata/golden/name as Check does, and checks that the file decodes to an equal value.
// Every field has to be set, as the file would not show whether an unset field is stored.
func CheckJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	requireAllSet(t, name, reflect.ValueOf(value))
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Check(t, name, append(raw, '\n'))
	stored, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	var decoded T
	if err := json.Unmarshal(stored, &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s: reads back as %+v, want %+v", name, decoded, value)
	}
}

// requireAllSet fails the test for each field that has its zero value. It checks the first element of a slice and every value of a map.
func requireAllSet(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() {
		t.Errorf("%s is not set", path)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		requireAllSet(t, path, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			requireAllSet(t, path+"."+value.Type().Field(i).Name, value.Field(i))
		}
	case reflect.Slice:
		requireAllSet(t, path+"[0]", value.Index(0))
	case reflect.Map:
		for entries := value.MapRange(); entries.Next(); {
			requireAllSet(t, path+"["+entries.Key().String()+"]", entries.Value())
		}
	}
}
