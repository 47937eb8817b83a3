// Package tomlfile reads a TOML file that a person wrote into a struct, strictly, and names every fault in it at once:
// file, line, key, what is wrong and what would be right. The syntax is go-toml's; this package adds the lines of keys,
// the nearest known key for one that is unknown, and that one fault does not hide the next.
//
// Fields carry a `toml` tag. Supported are strings, booleans, whole numbers, float64, time.Duration (a string such as
// "1.5s"), slices, and structs; an embedded struct's fields count as the struct's own; any other field without a tag is
// left alone.
package tomlfile

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxSize bounds a file, in bytes: what a person writes is far smaller.
const MaxSize = 1 << 20

// Error is one thing that is wrong with a file.
type Error struct {
	File   string
	Line   int    // from 1; 0: the file as a whole
	Key    string // such as class[1].patience
	Reason string
}

// Error is the fault in one line.
func (e Error) Error() string {
	var text strings.Builder
	text.WriteString(e.File)
	if e.Line > 0 {
		text.WriteString(":" + strconv.Itoa(e.Line))
	}
	text.WriteString(": ")
	if e.Key != "" {
		text.WriteString(e.Key + ": ")
	}
	return text.String() + e.Reason
}

// Document is a file that was read: where its keys stand, and what is wrong with it.
type Document struct {
	file   string
	lines  map[string]int
	errors []Error
}

// Read decodes raw into v, a pointer to a struct that may hold defaults. What is wrong is kept in the Doc; v holds what
// could be read.
func Read(file string, raw []byte, target any) *Document {
	document := &Document{file: file, lines: map[string]int{}}
	if len(raw) > MaxSize {
		document.errors = append(document.errors, Error{File: file, Reason: fmt.Sprintf("%d bytes are more than the %d that such a file may have", len(raw), MaxSize)})
		return document
	}
	var root map[string]any
	if err := toml.Unmarshal(raw, &root); err != nil {
		syntaxError := Error{File: file, Reason: "this is no TOML: " + strings.TrimPrefix(err.Error(), "toml: ")}
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			syntaxError.Line, _ = decodeError.Position()
			syntaxError.Key = strings.Join(decodeError.Key(), ".")
		}
		document.errors = append(document.errors, syntaxError)
		return document
	}
	document.recordLines(raw)
	document.decodeTable("", root, reflect.ValueOf(target).Elem())
	return document
}

// Has tells whether the file gives the key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Line is where a key stands, or where the nearest table round it does; 0 where the file has neither.
func (d *Document) Line(key string) int {
	for {
		if line, ok := d.lines[key]; ok {
			return line
		}
		end := strings.LastIndexAny(key, ".[")
		if end < 0 {
			return 0
		}
		key = key[:end]
	}
}

// AddErrorf notes a fault of a key.
func (d *Document) AddErrorf(key, format string, args ...any) {
	d.errors = append(d.errors, Error{File: d.file, Line: d.Line(key), Key: key, Reason: fmt.Sprintf(format, args...)})
}

// Errors are all faults by line.
func (d *Document) Errors() []Error {
	sorted := slices.Clone(d.errors)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Line < sorted[j].Line })
	return sorted
}

// Err joins all faults, a line each; nil where there are none.
func (d *Document) Err() error {
	var errs []error
	for _, e := range d.Errors() {
		errs = append(errs, e)
	}
	return errors.Join(errs...)
}

// recordLines notes the line of each key. The text is known to be TOML.
func (d *Document) recordLines(raw []byte) {
	parser := unstable.Parser{}
	parser.Reset(raw)
	counts := map[string]int{}
	// in names a table; an array of tables on the way stands for its last table.
	tableAt := func(keys unstable.Iterator) (path string, line int) {
		for keys.Next() {
			node := keys.Node()
			path = joinKey(path, string(node.Data))
			if line == 0 {
				line = parser.Shape(node.Raw).Start.Line
			}
			if keys.IsLast() {
				break
			}
			if count := counts[path]; count > 0 {
				path = itemKey(path, count-1)
			}
		}
		return path, line
	}
	prefix := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		switch expression.Kind {
		case unstable.Table:
			path, line := tableAt(expression.Key())
			prefix = path
			d.setLine(prefix, line)
		case unstable.ArrayTable:
			path, line := tableAt(expression.Key())
			d.setLine(path, line)
			counts[path]++
			prefix = itemKey(path, counts[path]-1)
			d.setLine(prefix, line)
		case unstable.KeyValue:
			d.recordKeyValue(&parser, prefix, expression)
		}
	}
}

func (d *Document) recordKeyValue(parser *unstable.Parser, prefix string, expression *unstable.Node) {
	path, line := prefix, 0
	for keys := expression.Key(); keys.Next(); {
		path = joinKey(path, string(keys.Node().Data))
		line = parser.Shape(keys.Node().Raw).Start.Line
		d.setLine(path, line)
	}
	d.recordValue(parser, path, line, expression.Value())
}

func (d *Document) recordValue(parser *unstable.Parser, path string, line int, value *unstable.Node) {
	switch value.Kind {
	case unstable.InlineTable:
		for children := value.Children(); children.Next(); {
			d.recordKeyValue(parser, path, children.Node())
		}
	case unstable.Array:
		i := 0
		for children := value.Children(); children.Next(); i++ {
			d.setLine(itemKey(path, i), line)
			d.recordValue(parser, itemKey(path, i), line, children.Node())
		}
	}
}

func (d *Document) setLine(path string, line int) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = line
	}
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func itemKey(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// decodeTable decodes one table into a struct.
func (d *Document) decodeTable(path string, values map[string]any, target reflect.Value) {
	fields := map[string]reflect.Value{}
	var names []string
	var collect func(target reflect.Value)
	collect = func(target reflect.Value) {
		for i := range target.NumField() {
			field := target.Type().Field(i)
			switch name := field.Tag.Get("toml"); {
			case name != "":
				fields[name] = target.Field(i)
				names = append(names, name)
			case field.Anonymous && field.Type.Kind() == reflect.Struct:
				collect(target.Field(i))
			}
		}
	}
	collect(target)
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		field, ok := fields[key]
		if !ok {
			d.AddErrorf(joinKey(path, key), "no such key%s", suggestKey(key, names))
			continue
		}
		d.decodeValue(joinKey(path, key), values[key], field)
	}
}

// suggestKey names the known key that one was probably meant to be, or all where none is near.
func suggestKey(key string, known []string) string {
	best, bestDistance := "", 1+len(key)/2
	for _, name := range known {
		if distance := levenshtein.ComputeDistance(strings.ToLower(key), name); distance < bestDistance {
			best, bestDistance = name, distance
		}
	}
	if best != "" {
		return fmt.Sprintf(": did you mean %s?", best)
	}
	return "; known here: " + strings.Join(known, ", ")
}

var durationType = reflect.TypeFor[time.Duration]()

// decodeValue decodes one value; a wrong one is a fault and changes nothing.
func (d *Document) decodeValue(path string, raw any, target reflect.Value) {
	if target.Type() == durationType {
		text, ok := raw.(string)
		duration, err := time.ParseDuration(text)
		if !ok || err != nil {
			d.AddErrorf(path, `%v is no length of time: write a number with its unit in quotes, such as "500ms" or "1.5s"`, describe(raw))
			return
		}
		target.SetInt(int64(duration))
		return
	}
	switch target.Kind() {
	case reflect.String:
		if text, ok := raw.(string); ok {
			target.SetString(text)
			return
		}
		d.AddErrorf(path, "%s is no text: write it in quotes", describe(raw))
	case reflect.Bool:
		if flag, ok := raw.(bool); ok {
			target.SetBool(flag)
			return
		}
		d.AddErrorf(path, "%s is neither true nor false", describe(raw))
	case reflect.Int, reflect.Int64:
		if number, ok := raw.(int64); ok {
			target.SetInt(number)
			return
		}
		d.AddErrorf(path, "%s is no whole number", describe(raw))
	case reflect.Float64:
		switch number := raw.(type) {
		case float64:
			if !math.IsNaN(number) && !math.IsInf(number, 0) {
				target.SetFloat(number)
				return
			}
		case int64:
			target.SetFloat(float64(number))
			return
		}
		d.AddErrorf(path, "%s is no number", describe(raw))
	case reflect.Slice:
		list, ok := raw.([]any)
		if !ok {
			d.AddErrorf(path, "%s is no list: write it in [brackets], tables as [[%s]]", describe(raw), path)
			return
		}
		items := reflect.MakeSlice(target.Type(), len(list), len(list))
		for i, element := range list {
			d.decodeValue(itemKey(path, i), element, items.Index(i))
		}
		target.Set(items)
	case reflect.Struct:
		table, ok := raw.(map[string]any)
		if !ok {
			d.AddErrorf(path, "%s is no table: write [%s] and its keys below", describe(raw), path)
			return
		}
		d.decodeTable(path, table, target)
	default:
		panic("tomlfile: no way to read a " + target.Type().String())
	}
}

// describe is a value as a message names it.
func describe(value any) string {
	switch value := value.(type) {
	case string:
		return strconv.Quote(truncate(value))
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "a list"
	default:
		return truncate(fmt.Sprint(value))
	}
}

// truncate keeps a message in bounds.
func truncate(text string) string {
	const maxLength = 60
	if len(text) > maxLength {
		return text[:maxLength] + "..."
	}
	return text
}
