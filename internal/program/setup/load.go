package setup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
)

// Problem is one error in a settings file.
type Problem struct {
	// Path is the path of the setting, such as limits.bodyBytes; empty if the problem concerns the whole file.
	Path string
	// Reason says what is wrong and what is allowed.
	Reason string
}

func (p Problem) String() string {
	if p.Path == "" {
		return p.Reason
	}
	return p.Path + ": " + p.Reason
}

// SettingsError lists all problems of a settings file.
type SettingsError struct {
	File     string
	Problems []Problem
}

func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return fmt.Sprintf("%s: %s", e.File, strings.Join(lines, "; "))
}

// Load reads the settings of a daemon from a file, with defaults for missing values, and validates them. The error is
// a *SettingsError.
func Load(file string) (*Settings, error) {
	s := Default()
	if err := LoadInto(file, &s); err != nil {
		return nil, err
	}
	if problems := checkCombinations(&s); len(problems) > 0 {
		return nil, &SettingsError{File: file, Problems: problems}
	}
	return &s, nil
}

// LoadInto reads a settings file into a struct with JSON and validation tags. Fields that the file lacks keep their
// values. The error is a *SettingsError.
func LoadInto(file string, into any) error {
	raw, err := os.ReadFile(file) // #nosec G304 -- the operator names the file.
	if err != nil {
		return &SettingsError{File: file, Problems: []Problem{{Reason: err.Error()}}}
	}
	problems := Decode(raw, into)
	if len(problems) > 0 {
		return &SettingsError{File: file, Problems: problems}
	}
	return nil
}

// Decode decodes JSON settings into a struct and returns every problem. If the JSON cannot be decoded, this is the only
// problem.
func Decode(raw []byte, into any) []Problem {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(into); err != nil {
		return []Problem{decodeProblem(err)}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return []Problem{{Reason: "there is data after the JSON object, one object is allowed"}}
	}
	var tree map[string]any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return []Problem{decodeProblem(err)}
	}
	problems := unknownFields("", tree, reflect.TypeOf(into).Elem())
	return append(problems, Validate(into)...)
}

func decodeProblem(err error) Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Problem{Path: typeErr.Field, Reason: fmt.Sprintf("is a %s, a %s is allowed", typeErr.Value, typeName(typeErr.Type))}
	}
	return Problem{Reason: "not valid JSON: " + err.Error()}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "true or false"
	case reflect.Struct, reflect.Map:
		return "JSON object"
	case reflect.Slice:
		return "list"
	default:
		return t.Kind().String()
	}
}

// unknownFields returns a problem for every field of the tree that the struct type lacks.
// Unlike in encoding/json, names are case-sensitive.
func unknownFields(path string, tree map[string]any, t reflect.Type) []Problem {
	known, names := jsonFields(t)
	var problems []Problem
	for _, name := range sortedKeys(tree) {
		field, ok := known[name]
		fieldPath := joinPath(path, name)
		if !ok {
			problems = append(problems, Problem{Path: fieldPath, Reason: "unknown setting, allowed here are " + strings.Join(names, ", ")})
			continue
		}
		problems = append(problems, unknownFieldsInValue(fieldPath, tree[name], field)...)
	}
	return problems
}

func unknownFieldsInValue(path string, value any, t reflect.Type) []Problem {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := value.(type) {
	case map[string]any:
		if t.Kind() == reflect.Struct {
			return unknownFields(path, value, t)
		}
	case []any:
		var problems []Problem
		for i, element := range value {
			problems = append(problems, unknownFieldsInValue(fmt.Sprintf("%s[%d]", path, i), element, t.Elem())...)
		}
		return problems
	}
	return nil
}

func jsonFields(t reflect.Type) (map[string]reflect.Type, []string) {
	known := map[string]reflect.Type{}
	var names []string
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		known[name] = field.Type
		names = append(names, name)
	}
	return known, names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
