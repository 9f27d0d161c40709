package settings

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/gravitational/trace"
)

// Change is one key path whose value differs between two settings.
type Change struct {
	Path string
	// Before and After are the values as JSON; empty means that the path does
	// not exist.
	Before string
	After  string
}

// Difference returns the changes between two settings, sorted by path.
func Difference(before, after *Fleet) (changes []Change, err error) {
	defer func() { err = trace.Wrap(err, "comparing settings") }()
	beforeValues, err := Flatten(before)
	if err != nil {
		return nil, err
	}
	afterValues, err := Flatten(after)
	if err != nil {
		return nil, err
	}
	for path, value := range beforeValues {
		if afterValues[path] != value {
			changes = append(changes, Change{Path: path, Before: value, After: afterValues[path]})
		}
	}
	for path, value := range afterValues {
		if _, known := beforeValues[path]; !known {
			changes = append(changes, Change{Path: path, After: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes, nil
}

// Flatten returns every value of the settings as JSON, by its key path. Nil
// settings have no values.
func Flatten(fleet *Fleet) (values map[string]string, err error) {
	values = map[string]string{}
	if fleet == nil {
		return values, nil
	}
	generic, err := toTable(fleet)
	if err != nil {
		return nil, err
	}
	return values, flattenInto(values, "", generic)
}

func flattenInto(values map[string]string, path string, value any) error {
	nested, isTable := value.(table)
	if !isTable {
		text, err := json.Marshal(value)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		values[path] = string(text)
		return nil
	}
	for key, inner := range nested {
		if err := flattenInto(values, joinPath(path, key), inner); err != nil {
			return err
		}
	}
	return nil
}
