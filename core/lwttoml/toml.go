// Package lwttoml decodes TOML documents and reports every problem of a
// document at once, each with its key path and line.
//
// The TOML library stops at the first value of a wrong type, so the package
// checks a document against the target type itself and leaves only the
// decoding of the valid rest to the library.
package lwttoml

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one fault of a document.
type Problem struct {
	// Key is the path of the value at fault, for example "engine[0].address".
	Key string `json:"key"`
	// Line is the line of the value, counted from 1. Zero means that the
	// problem has no place in the document.
	Line int `json:"line,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// Error implements error.
func (problem Problem) Error() string {
	text := problem.Message
	if problem.Key != "" {
		text = problem.Key + ": " + text
	}
	if problem.Line > 0 {
		text = fmt.Sprintf("line %d: %s", problem.Line, text)
	}
	return text
}

// Join returns the problems as one error, or nil when there are none.
func Join(problems []Problem) error {
	joined := make([]error, 0, len(problems))
	for _, problem := range problems {
		joined = append(joined, problem)
	}
	return errors.Join(joined...)
}

// Sorted returns the problems ordered by line, then by key and message.
func Sorted(problems []Problem) []Problem {
	return slices.SortedStableFunc(slices.Values(problems), func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Key+a.Message, b.Key+b.Message)
	})
}

// Document knows the lines of a decoded document's keys.
type Document struct {
	lines  map[string]int
	faulty map[string]bool
	// readable says that the document is valid TOML.
	readable bool
}

// Line returns the line of a key path, or of the closest table that contains
// it. It returns 0 when neither is in the document.
func (document Document) Line(key string) int {
	for key != "" {
		if line, found := document.lines[key]; found {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}

// ValidSyntax reports whether the document is valid TOML. Of one that is not,
// nothing is decoded.
func (document Document) ValidSyntax() bool { return document.readable }

// Has reports whether a key path is in the document.
func (document Document) Has(key string) bool {
	_, found := document.lines[key]
	return found
}

// Faulty reports whether the value at a key path was left out of the decoded
// value, so that a check of its bounds says nothing.
func (document Document) Faulty(key string) bool { return document.faulty[key] }

// Problem returns a problem with the line of its key.
func (document Document) Problem(key, message string) Problem {
	return Problem{Key: key, Line: document.Line(key), Message: message}
}

// Decode decodes a document into target, a pointer to a struct with toml tags.
// Values at fault keep the value that they have in target.
func Decode(content []byte, target any) (Document, []Problem) {
	document := Document{faulty: map[string]bool{}}
	lines, problem := index(content)
	if problem != nil {
		return document, []Problem{*problem}
	}
	document.lines = lines
	var values map[string]any
	if err := toml.Unmarshal(content, &values); err != nil {
		return document, []Problem{describe(err)}
	}
	document.readable = true
	checker := checker{document: document}
	valid, _ := checker.table("", values, reflect.TypeOf(target).Elem())
	var encoded []byte
	var err error
	if encoded, err = toml.Marshal(valid); err != nil {
		return document, append(checker.problems, describe(err))
	}
	if err := toml.Unmarshal(encoded, target); err != nil {
		return document, append(checker.problems, Problem{Message: err.Error()})
	}
	return document, checker.problems
}

func describe(err error) Problem {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return Problem{Key: strings.Join(decode.Key(), "."), Line: row, Message: plain(decode.Error())}
	}
	return Problem{Message: plain(err.Error())}
}

func plain(message string) string { return strings.TrimPrefix(message, "toml: ") }
