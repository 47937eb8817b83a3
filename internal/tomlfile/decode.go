package tomlfile

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
)

var durationType = reflect.TypeFor[time.Duration]()

// decodeTable decodes one table into a struct.
func (d *Document) decodeTable(path string, values map[string]any, target reflect.Value) {
	fields := taggedFields(target)
	for _, key := range slices.Sorted(maps.Keys(values)) {
		keyPath := joinKey(path, key)
		i := slices.IndexFunc(fields, func(f taggedField) bool { return f.key == key })
		if i < 0 {
			d.AddErrorf(keyPath, "unknown key%s", suggestKey(key, fields))
			continue
		}
		d.decodeValue(keyPath, values[key], fields[i].value)
	}
}

// taggedField is a struct field that a key of the file sets.
type taggedField struct {
	key   string
	value reflect.Value
}

// taggedFields returns a struct's tagged fields, and those of its embedded structs, in the order of declaration.
func taggedFields(target reflect.Value) []taggedField {
	var fields []taggedField
	for i := range target.NumField() {
		field := target.Type().Field(i)
		switch key := field.Tag.Get("toml"); {
		case key != "":
			fields = append(fields, taggedField{key, target.Field(i)})
		case field.Anonymous && field.Type.Kind() == reflect.Struct:
			fields = append(fields, taggedFields(target.Field(i))...)
		}
	}
	return fields
}

// suggestKey returns the known key that was probably meant by an unknown one, or all known keys if none is similar.
func suggestKey(key string, fields []taggedField) string {
	known := make([]string, 0, len(fields))
	best, bestDistance := "", 1+len(key)/2
	for _, field := range fields {
		known = append(known, field.key)
		distance := levenshtein.ComputeDistance(strings.ToLower(key), field.key)
		if distance < bestDistance {
			best, bestDistance = field.key, distance
		}
	}
	if best != "" {
		return fmt.Sprintf(": did you mean %s?", best)
	}
	return "; known keys: " + strings.Join(known, ", ")
}

// decodeValue decodes one value. An invalid value adds an error and leaves target unchanged.
func (d *Document) decodeValue(path string, raw any, target reflect.Value) {
	if target.Type() == durationType {
		d.decodeDuration(path, raw, target)
		return
	}
	switch target.Kind() {
	case reflect.String:
		d.decodeString(path, raw, target)
	case reflect.Bool:
		d.decodeBool(path, raw, target)
	case reflect.Int, reflect.Int64:
		d.decodeInt(path, raw, target)
	case reflect.Float64:
		d.decodeFloat(path, raw, target)
	case reflect.Slice:
		d.decodeSlice(path, raw, target)
	case reflect.Struct:
		d.decodeStruct(path, raw, target)
	default:
		panic("tomlfile: unsupported type " + target.Type().String())
	}
}

func (d *Document) decodeDuration(path string, raw any, target reflect.Value) {
	text, ok := raw.(string)
	duration, err := time.ParseDuration(text)
	if !ok || err != nil {
		d.AddErrorf(path, `invalid value %v: must be a number with its unit in quotes, such as "500ms" or "1.5s"`, describe(raw))
		return
	}
	target.SetInt(int64(duration))
}

func (d *Document) decodeString(path string, raw any, target reflect.Value) {
	text, ok := raw.(string)
	if !ok {
		d.AddErrorf(path, "invalid value %s: must be a string in quotes", describe(raw))
		return
	}
	target.SetString(text)
}

func (d *Document) decodeBool(path string, raw any, target reflect.Value) {
	flag, ok := raw.(bool)
	if !ok {
		d.AddErrorf(path, "invalid value %s: must be true or false", describe(raw))
		return
	}
	target.SetBool(flag)
}

func (d *Document) decodeInt(path string, raw any, target reflect.Value) {
	number, ok := raw.(int64)
	if !ok {
		d.AddErrorf(path, "invalid value %s: must be an integer", describe(raw))
		return
	}
	target.SetInt(number)
}

// decodeFloat also accepts integers. It rejects infinities and NaN.
func (d *Document) decodeFloat(path string, raw any, target reflect.Value) {
	number, ok := raw.(float64)
	if whole, isWhole := raw.(int64); isWhole {
		number, ok = float64(whole), true
	}
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
		d.AddErrorf(path, "invalid value %s: must be a finite number", describe(raw))
		return
	}
	target.SetFloat(number)
}

func (d *Document) decodeSlice(path string, raw any, target reflect.Value) {
	list, ok := raw.([]any)
	if !ok {
		d.AddErrorf(path, "invalid value %s: must be a list, written as [...], or as [[%s]] for tables", describe(raw), path)
		return
	}
	items := reflect.MakeSlice(target.Type(), len(list), len(list))
	for i, element := range list {
		d.decodeValue(itemKey(path, i), element, items.Index(i))
	}
	target.Set(items)
}

func (d *Document) decodeStruct(path string, raw any, target reflect.Value) {
	table, ok := raw.(map[string]any)
	if !ok {
		d.AddErrorf(path, "invalid value %s: must be a table, written as [%s] with its keys below", describe(raw), path)
		return
	}
	d.decodeTable(path, table, target)
}

// describe formats a value for an error.
func describe(value any) string {
	switch value := value.(type) {
	case string:
		return strconv.Quote(truncate(value))
	case map[string]any:
		return "{...}"
	case []any, []map[string]any:
		return "[...]"
	default:
		return truncate(fmt.Sprint(value))
	}
}

// truncate limits the length of a value in an error.
func truncate(text string) string {
	const maxLength = 60
	if len(text) > maxLength {
		return text[:maxLength] + "..."
	}
	return text
}
