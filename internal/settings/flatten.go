package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"birchfork/dispatch"
)

// maxDepth limits the nesting depth of settings.
const maxDepth = 16

// DecodeJSON decodes the settings of one dispatcher from nested JSON and assigns ids to the names in them. It also
// returns the pairs, or nil if raw is not a JSON object. Errors are those of Flatten and Decode.
func DecodeJSON(raw []byte, names *NameTable) (dispatch.Settings, *Pairs, error) {
	pairs, err := Flatten(raw)
	if err != nil {
		return dispatch.Settings{}, nil, err
	}
	settings, err := Decode(pairs, names)
	return settings, pairs, err
}

// Flatten converts settings in nested JSON to the pairs of the simulator's protocol: nested keys are joined by dots,
// lists of values by commas, and lists of objects become a count and numbered items.
func Flatten(raw []byte) (*Pairs, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps numbers as they are written
	var root map[string]any
	if err := decoder.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: malformed value: must be a JSON object: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("settings: unexpected data after the JSON object")
	}
	pairs := &Pairs{values: map[string]string{}}
	pairs.addObject("", root, 0)
	return pairs, nil
}

func (p *Pairs) addObject(prefix string, object map[string]any, depth int) {
	if depth > maxDepth {
		p.addError(prefix, fmt.Sprintf("nested more than %d levels deep", maxDepth))
		return
	}
	for key, value := range object {
		path := key
		if prefix != "" {
			path = prefix + "." + key
		}
		switch value := value.(type) {
		case map[string]any:
			p.addObject(path, value, depth+1)
		case []any:
			p.addArray(path, value, depth+1)
		case nil: // equivalent to a missing key
		default:
			p.values[path] = formatValue(value)
		}
	}
}

func (p *Pairs) addArray(path string, list []any, depth int) {
	var values []string
	for i, item := range list {
		if object, ok := item.(map[string]any); ok {
			p.addObject(path+"."+strconv.Itoa(i), object, depth)
			continue
		}
		values = append(values, formatValue(item))
	}
	if len(values) > 0 && len(values) < len(list) {
		p.addError(path, "must be a list of values or of objects, not of both")
	}
	if len(values) == 0 {
		p.values[path+".count"] = strconv.Itoa(len(list))
	}
	p.values[path] = strings.Join(values, ",")
}

func formatValue(value any) string {
	switch value := value.(type) {
	case string:
		return NormalizeName(value)
	case json.Number:
		return value.String()
	default:
		return fmt.Sprint(value)
	}
}

// NormalizeName returns a name as the simulator's protocol encodes it: spaces and commas, which would split a list,
// become underscores.
func NormalizeName(name string) string {
	return strings.NewReplacer(" ", "_", ",", "_").Replace(name)
}
