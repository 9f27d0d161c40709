package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one error in settings, with its position and what would be valid.
type Problem struct {
	// File is the file's path as given, or the override; empty if neither is
	// known.
	File string
	// Line counts from 1; 0 means that the problem has no single line.
	Line int
	// Path is the key path, joined by dots.
	Path string
	// Message says what is wrong and what would be valid.
	Message string
}

// Error returns the problem in one line, in the form FILE:LINE: PATH: MESSAGE.
func (p *Problem) Error() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if place == "" {
		place = "settings"
	}
	if p.Path == "" {
		return fmt.Sprintf("%s: %s", place, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", place, p.Path, p.Message)
}

// InvalidError lists all problems of a tree or file.
type InvalidError struct {
	Problems []*Problem
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// decodeProblems converts an error of the decoder to problems.
func decodeProblems(file string, err error) []*Problem {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		problems := make([]*Problem, 0, len(missing.Errors))
		for _, single := range missing.Errors {
			line, _ := single.Position()
			problems = append(problems, &Problem{
				File:    file,
				Line:    line,
				Path:    strings.Join(single.Key(), "."),
				Message: "no such setting",
			})
		}
		return problems
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return []*Problem{{
			File:    file,
			Line:    line,
			Path:    strings.Join(decode.Key(), "."),
			Message: strings.TrimPrefix(decode.Error(), "toml: "),
		}}
	}
	return []*Problem{{File: file, Message: err.Error()}}
}

// keyLines returns the line of each key path of a TOML text. Keys within inline
// tables are left out; the line of their table is used instead.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(text)
	var table []string
	for parser.NextExpression() {
		node := parser.Expression()
		keys := nodeKeys(node)
		path := append(append([]string{}, table...), keys...)
		if node.Kind != unstable.KeyValue {
			table = keys
			path = keys
		}
		offset := nodeOffset(node)
		lines[strings.Join(path, ".")] = 1 + strings.Count(string(text[:offset]), "\n")
	}
	return lines
}

func nodeKeys(node *unstable.Node) []string {
	var keys []string
	iterator := node.Key()
	for iterator.Next() {
		keys = append(keys, string(iterator.Node().Data))
	}
	return keys
}

func nodeOffset(node *unstable.Node) int {
	iterator := node.Key()
	if iterator.Next() {
		return int(iterator.Node().Raw.Offset)
	}
	return 0
}

// lineOf returns the line of the path, or of its nearest ancestor that has one.
func lineOf(lines map[string]int, path string) int {
	for path != "" {
		if line, ok := lines[path]; ok {
			return line
		}
		cut := strings.LastIndexByte(path, '.')
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
	return 0
}
