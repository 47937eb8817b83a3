package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// settingsPrefix is the prefix of the keys of the platform's settings.
const settingsPrefix = "settings."

// optionalKeys may be added and removed by a reload. They are the keys that the platform's documentation calls optional, and those that
// take effect only at a start. Keys of settings are listed without settingsPrefix.
var optionalKeys = []string{"classes.aim_stretch", "known", "seed", "operator"}

// missingKeys returns every key that the old file has and the current one lacks, as joined *ConfigError. This guards against truncated
// files: at a start a default replaces a missing key, but a reload must not replace a configured value by a default. List items may be
// added and removed, but each needs the keys that all old ones have. Files that are not valid JSON are skipped, as Decode reports them.
func missingKeys(old, current json.RawMessage) error {
	var oldValue, currentValue any
	if json.Unmarshal(old, &oldValue) != nil || json.Unmarshal(current, &currentValue) != nil {
		return nil
	}
	var c missingKeysCollector
	c.compare(oldValue, currentValue, "", "")
	return errors.Join(c.errs...)
}

// missingKeysCollector collects the errors of one comparison.
type missingKeysCollector struct{ errs []error }

func (c *missingKeysCollector) add(path, reason string) {
	c.errs = append(c.errs, &ConfigError{Key: path, Reason: reason})
}

// compare compares two values at path; key is the path without the indexes of list items.
func (c *missingKeysCollector) compare(old, current any, path, key string) {
	switch old := old.(type) {
	case map[string]any:
		object, ok := current.(map[string]any)
		if !ok {
			c.add(path, "must be an object")
			return
		}
		c.compareObjects(old, object, path, key)
	case []any:
		items, ok := current.([]any)
		if !ok {
			c.add(path, "must be a list")
			return
		}
		c.compareLists(old, items, path, key)
	}
}

// compareObjects compares two objects key by key.
func (c *missingKeysCollector) compareObjects(old, current map[string]any, path, key string) {
	for _, name := range slices.Sorted(maps.Keys(old)) {
		childPath := joinPath(path, name)
		childKey := joinPath(key, name)
		optional := slices.Contains(optionalKeys, strings.TrimPrefix(childKey, settingsPrefix))
		switch {
		case old[name] == nil || optional:
		case current[name] == nil:
			c.add(childPath, "missing key: a reload must not omit it")
		default:
			c.compare(old[name], current[name], childPath, childKey)
		}
	}
}

// compareLists checks that each item of the current list has the keys that all items of the old list have.
func (c *missingKeysCollector) compareLists(old, current []any, path, key string) {
	common := commonKeys(old)
	if common == nil {
		return
	}
	for i, item := range current {
		c.compare(common, item, fmt.Sprintf("%s.%d", path, i), key)
	}
}

// joinPath appends a name to a path, which may be empty.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// commonKeys returns the keys that all items of a list of objects have, with the values of the first; nil if the list is empty or an item
// is not an object.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for _, item := range list {
		object, ok := item.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return object[key] == nil })
	}
	return common
}
