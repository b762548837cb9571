package lwttoml

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// checker checks decoded values against the types of the target. Its check methods
// return the value without invalid parts; false means that no valid part is left.
type checker struct {
	document Document
	problems []Problem
}

func (checker *checker) report(key, message string) {
	checker.document.faulty[key] = true
	checker.problems = append(checker.problems, checker.document.Problem(key, message))
}

func (checker *checker) checkValue(key string, value any, target reflect.Type) (any, bool) {
	if _, isText := reflect.New(target).Interface().(encoding.TextUnmarshaler); isText {
		return checker.checkText(key, value, target)
	}
	switch target.Kind() {
	case reflect.Struct:
		return checker.checkTable(key, value, target)
	case reflect.Slice:
		return checker.checkArray(key, value, target.Elem())
	case reflect.Float64:
		return checker.checkFloat(key, value)
	default:
		return checker.checkScalar(key, value, target)
	}
}

func (checker *checker) checkTable(key string, value any, target reflect.Type) (map[string]any, bool) {
	values, ok := value.(map[string]any)
	if !ok {
		checker.report(key, "must be a table, not "+describeValue(value))
		return nil, false
	}
	fields := fieldTypes(target)
	valid := map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		path := joinPath(key, name)
		field, known := fields[name]
		if !known {
			checker.report(path, "unknown key"+suggestKey(name, fields))
			continue
		}
		if part, ok := checker.checkValue(path, values[name], field); ok {
			valid[name] = part
		}
	}
	return valid, true
}

func (checker *checker) checkArray(key string, value any, target reflect.Type) (any, bool) {
	values, ok := value.([]any)
	if !ok {
		checker.report(key, "must be an array, not "+describeValue(value))
		return nil, false
	}
	valid := make([]any, 0, len(values))
	for i, part := range values {
		part, ok := checker.checkValue(elementPath(key, i), part, target)
		if !ok {
			// A zero value preserves the positions of the elements after it.
			part = reflect.Zero(target).Interface()
		}
		valid = append(valid, part)
	}
	return valid, true
}

func (checker *checker) checkText(key string, value any, target reflect.Type) (any, bool) {
	text, ok := value.(string)
	if !ok {
		checker.report(key, `must be text with a unit such as "250ms", not `+describeValue(value))
		return nil, false
	}
	// checkValue has found that the type implements the interface.
	unmarshaler, _ := reflect.New(target).Interface().(encoding.TextUnmarshaler)
	if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
		checker.report(key, err.Error())
		return nil, false
	}
	return text, true
}

func (checker *checker) checkFloat(key string, value any) (any, bool) {
	switch number := value.(type) {
	case float64:
		return number, true
	case int64:
		return float64(number), true
	}
	checker.report(key, "must be a number, not "+describeValue(value))
	return nil, false
}

func (checker *checker) checkScalar(key string, value any, target reflect.Type) (any, bool) {
	fits := false
	switch target.Kind() {
	case reflect.String:
		_, fits = value.(string)
	case reflect.Bool:
		_, fits = value.(bool)
	case reflect.Int, reflect.Int64:
		_, fits = value.(int64)
	}
	if !fits {
		checker.report(key, "must be "+describeKind(target.Kind())+", not "+describeValue(value))
	}
	return value, fits
}

func fieldTypes(target reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range target.NumField() {
		field := target.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		switch {
		case field.Anonymous && name == "":
			maps.Copy(fields, fieldTypes(field.Type))
		case name != "" && name != "-":
			fields[name] = field.Type
		}
	}
	return fields
}

// suggestKey returns a hint with the known key that differs from name only by
// case, underscores or a plural s, which are common mistakes, or "".
func suggestKey(name string, fields map[string]reflect.Type) string {
	for _, known := range slices.Sorted(maps.Keys(fields)) {
		if normalizeKey(known) == normalizeKey(name) {
			return fmt.Sprintf("; the key is %q", known)
		}
	}
	return ""
}

func normalizeKey(name string) string {
	return strings.TrimSuffix(strings.ReplaceAll(strings.ToLower(name), "_", "-"), "s")
}

func describeKind(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

func describeValue(value any) string {
	switch value.(type) {
	case string:
		return "text"
	case bool:
		return "a boolean"
	case int64:
		return "a whole number"
	case float64:
		return "a number with a fraction"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}
