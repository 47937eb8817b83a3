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

// maxDepth bounds the nesting of settings.
const maxDepth = 16

// DecodeJSON reads one dispatcher's settings as nested JSON and interns their names. The pairs are those that it read.
func DecodeJSON(raw []byte, n *Names) (s dispatch.Settings, p *Pairs, err error) {
	if p, err = Flatten(raw); err != nil {
		return s, nil, err
	}
	s, err = Decode(p, n)
	return s, p, err
}

// Flatten reads settings as nested JSON and turns them into the pairs that the bench's wire would carry: paths joined
// with dots, plain lists joined with commas, lists of objects with a count and numbered items.
func Flatten(raw []byte) (*Pairs, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber() // keeps numbers as they were written
	var root map[string]any
	if err := dec.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: not a JSON object: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("settings: there is more after the object")
	}
	p := &Pairs{m: map[string]string{}}
	p.object("", root, 0)
	return p, nil
}

func (p *Pairs) object(at string, o map[string]any, depth int) {
	if depth > maxDepth {
		p.errs = append(p.errs, fmt.Errorf("setting %s: nested too deep", at))
		return
	}
	for k, v := range o {
		path := k
		if at != "" {
			path = at + "." + k
		}
		switch v := v.(type) {
		case map[string]any:
			p.object(path, v, depth+1)
		case []any:
			p.array(path, v, depth+1)
		case nil: // absent
		default:
			p.m[path] = plainValue(v)
		}
	}
}

func (p *Pairs) array(path string, list []any, depth int) {
	var plain []string
	for i, v := range list {
		if o, ok := v.(map[string]any); ok {
			p.object(path+"."+strconv.Itoa(i), o, depth)
			continue
		}
		plain = append(plain, plainValue(v))
	}
	if len(plain) > 0 && len(plain) < len(list) {
		p.errs = append(p.errs, fmt.Errorf("setting %s: a list of both values and objects", path))
	}
	if len(plain) == 0 {
		p.m[path+".count"] = strconv.Itoa(len(list))
	}
	p.m[path] = strings.Join(plain, ",")
}

func plainValue(v any) string {
	switch v := v.(type) {
	case string:
		return Plain(v)
	case json.Number:
		return v.String()
	default:
		return fmt.Sprint(v)
	}
}

// Plain is a name as the wire carries it: a space or comma would split a list.
func Plain(name string) string {
	return strings.NewReplacer(" ", "_", ",", "_").Replace(name)
}
