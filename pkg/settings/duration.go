package settings

import (
	"fmt"
	"reflect"
	"time"
)

// Duration is a time.Duration that is written in settings as text with a unit,
// such as "250ms" or "2m". A bare number is rejected, since its unit would be a
// guess.
type Duration struct {
	time.Duration
	// problem says what is wrong with the decoded text. The decoder reports no
	// position for an error of UnmarshalText, so the error is kept here and
	// reported by the check.
	problem string
}

// UnmarshalText decodes a duration with its unit. Negative durations are rejected
// because no setting has a use for one. Errors are kept in d and reported by the
// check of the settings, with their position.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	switch {
	case err != nil:
		d.problem = fmt.Sprintf("%q is no duration: write a number with a unit, such as \"250ms\"", text)
	case parsed < 0:
		d.problem = fmt.Sprintf("%q is negative", text)
	}
	d.Duration = parsed
	return nil
}

// durationProblems returns the durations that failed to decode, by key path.
func durationProblems(value reflect.Value, path string) (problems []*Problem) {
	if duration, ok := value.Interface().(Duration); ok {
		if duration.problem == "" {
			return nil
		}
		return []*Problem{{Path: path, Message: duration.problem}}
	}
	switch value.Kind() {
	case reflect.Pointer:
		return durationProblems(value.Elem(), path)
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			inner := joinPath(path, field.Name)
			if field.Anonymous {
				inner = path
			}
			problems = append(problems, durationProblems(value.Field(i), inner)...)
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			problems = append(problems, durationProblems(value.MapIndex(key), joinPath(path, key.String()))...)
		}
	}
	return problems
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// MarshalText encodes the duration in the form that UnmarshalText decodes.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}
