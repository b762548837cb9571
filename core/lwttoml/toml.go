// Package lwttoml decodes TOML documents and reports all problems of a document
// at once, each with its key path and line.
//
// The TOML library stops at the first value of a wrong type. Therefore the package
// itself checks the document against the target type and passes only the valid
// values to the library.
package lwttoml

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one error in a document.
type Problem struct {
	// Key is the path of the invalid value, for example "engine[0].address".
	Key string `json:"key"`
	// Line is the line of the value, counted from 1. Zero means that the value is
	// not in the document.
	Line int `json:"line,omitempty"`
	// Message describes the problem.
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

// Join returns the problems as one error, or nil if there are none.
func Join(problems []Problem) error {
	errs := make([]error, 0, len(problems))
	for _, problem := range problems {
		errs = append(errs, problem)
	}
	return errors.Join(errs...)
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

// Document maps the key paths of a decoded document to lines and records which
// values are invalid.
type Document struct {
	lines  map[string]int
	faulty map[string]bool
	// validSyntax says that the document is valid TOML.
	validSyntax bool
}

// Line returns the line of a key path, or of the innermost table or array that
// contains it. It returns 0 if none of them is in the document.
func (document Document) Line(key string) int {
	for key != "" {
		if line, found := document.lines[key]; found {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}

// ValidSyntax reports whether the document is valid TOML. If it is not, no value
// has been decoded.
func (document Document) ValidSyntax() bool { return document.validSyntax }

// Has reports whether a key path is in the document.
func (document Document) Has(key string) bool {
	_, found := document.lines[key]
	return found
}

// IsInvalid reports whether the value at a key path is invalid and was not decoded,
// so that checks of the decoded value don't apply to it.
func (document Document) IsInvalid(key string) bool { return document.faulty[key] }

// Problem returns a problem of a key, with the key's line.
func (document Document) Problem(key, message string) Problem {
	return Problem{Key: key, Line: document.Line(key), Message: message}
}

// Decode decodes a document into target, a pointer to a struct with toml tags.
// Fields whose values in the document are invalid are left unchanged.
func Decode(content []byte, target any) (Document, []Problem) {
	document := Document{faulty: map[string]bool{}}
	lines, problem := indexLines(content)
	if problem != nil {
		return document, []Problem{*problem}
	}
	document.lines = lines
	var values map[string]any
	if err := toml.Unmarshal(content, &values); err != nil {
		return document, []Problem{newProblem(err)}
	}
	document.validSyntax = true
	checker := checker{document: document}
	valid, _ := checker.checkTable("", values, reflect.TypeOf(target).Elem())
	var encoded []byte
	var err error
	if encoded, err = toml.Marshal(valid); err != nil {
		return document, append(checker.problems, newProblem(err))
	}
	if err := toml.Unmarshal(encoded, target); err != nil {
		return document, append(checker.problems, Problem{Message: err.Error()})
	}
	return document, checker.problems
}

func newProblem(err error) Problem {
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		return Problem{Key: strings.Join(decodeError.Key(), "."), Line: line, Message: trimLibraryPrefix(decodeError.Error())}
	}
	return Problem{Message: trimLibraryPrefix(err.Error())}
}

func trimLibraryPrefix(message string) string { return strings.TrimPrefix(message, "toml: ") }
