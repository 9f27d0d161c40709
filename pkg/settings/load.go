package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// LoadBox reads a box's settings from a file, applies overrides of the form
// Key.Path=Value and checks the result. It starts nothing. The error is an
// *InvalidError when the settings are invalid.
func LoadBox(file string, overrides []string) (box Box, err error) {
	defer func() { err = trace.Wrap(err, "loading box settings") }()
	box = DefaultBox()
	text, err := os.ReadFile(file)
	if err != nil {
		return box, err
	}
	if err := decodeStrict(file, text, &box); err != nil {
		return box, err
	}
	for _, override := range overrides {
		if err := applyOverride(&box, override); err != nil {
			return box, err
		}
	}
	problems := checkBox(&box)
	locate(problems, []source{{file: file, lines: keyLines(text)}})
	if len(problems) > 0 {
		return box, &InvalidError{Problems: problems}
	}
	return box, nil
}

func decodeStrict(file string, text []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return &InvalidError{Problems: decodeProblems(file, err)}
	}
	problems := durationProblems(reflect.ValueOf(into), "")
	if len(problems) == 0 {
		return nil
	}
	locate(problems, []source{{file: file, lines: keyLines(text)}})
	return &InvalidError{Problems: problems}
}

// applyOverride decodes KEY=VALUE as one more line of TOML. A value that is not
// valid TOML is used as a string, so that addresses need no quotes on a command
// line.
func applyOverride(into any, override string) error {
	key, value, found := strings.Cut(override, "=")
	if !found || key == "" {
		return &InvalidError{Problems: []*Problem{{
			Path:    override,
			Message: "an override has the form Key.Path=Value",
		}}}
	}
	line := []byte(key + " = " + value)
	var parsed map[string]any
	if toml.Unmarshal(line, &parsed) != nil {
		line = fmt.Appendf(nil, "%s = %q", key, value)
	}
	return decodeStrict("--set "+override, line, into)
}

// Print encodes settings as TOML with every default, for `quaylead check --print`.
func Print(settings any) (text string, err error) {
	defer func() { err = trace.Wrap(err, "printing settings") }()
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	encoder.SetIndentTables(true)
	err = encoder.Encode(settings)
	return buffer.String(), err
}

// EncodeSnapshot encodes accepted settings in the immutable form in which they
// are stored.
func EncodeSnapshot(fleet *Fleet) (text []byte, err error) {
	defer func() { err = trace.Wrap(err, "encoding settings snapshot") }()
	return json.Marshal(fleet)
}

// DecodeSnapshot decodes a snapshot strictly and checks it. Settings that fail
// the check are never applied.
func DecodeSnapshot(text []byte) (fleet *Fleet, err error) {
	defer func() { err = trace.Wrap(err, "decoding settings snapshot") }()
	fleet = &Fleet{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(fleet); err != nil {
		return nil, err
	}
	problems := append(durationProblems(reflect.ValueOf(fleet), ""), checkFleet(fleet)...)
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return fleet, nil
}
