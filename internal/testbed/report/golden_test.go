package report

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// fill sets every field of a value, at any depth, to a distinct value.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), next)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("text " + strings.Repeat("i", *next%7))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Int, reflect.Int64, reflect.Int32:
		v.SetInt(int64(*next))
	case reflect.Uint64, reflect.Uint32, reflect.Uint8:
		v.SetUint(uint64(*next % 256))
	}
}

// The JSON form of a result is the same as in earlier builds. If UPDATE_GOLDEN is set, the test writes the golden file.
func TestReport_KeepsItsJSONForm(t *testing.T) {
	const path = "testdata/golden/report.json"
	var full Report
	fill(reflect.ValueOf(&full).Elem(), new(int))
	full.Version = Version
	raw, err := json.MarshalIndent(&full, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(raw) != string(golden) {
		t.Errorf("the JSON form has changed:\n%s\nwant:\n%s", raw, golden)
	}
	back, err := Decode(golden)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(back, &full) {
		t.Errorf("decoded %+v, want %+v", back, &full)
	}
}
