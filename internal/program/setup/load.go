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

// Problem is one thing that is wrong with a settings file.
type Problem struct {
	// Path names the setting, such as limits.bodyBytes; empty for the file as a whole.
	Path string
	// Reason says what is wrong and what is allowed.
	Reason string
}

func (f Problem) String() string {
	if f.Path == "" {
		return f.Reason
	}
	return f.Path + ": " + f.Reason
}

// SettingsError lists all faults of a settings file.
type SettingsError struct {
	File     string
	Problems []Problem
}

func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, f := range e.Problems {
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("%s: %s", e.File, strings.Join(lines, "; "))
}

// Load reads settings of a daemon from a file. The error is a *SettingsError.
func Load(file string) (*Settings, error) {
	s := Default()
	if err := LoadInto(file, &s); err != nil {
		return nil, err
	}
	if faults := checkCombinations(&s); len(faults) > 0 {
		return nil, &SettingsError{File: file, Problems: faults}
	}
	return &s, nil
}

// LoadInto reads a settings file into a struct with defaults and validation tags. The error is a *SettingsError.
func LoadInto(file string, into any) error {
	raw, err := os.ReadFile(file) // #nosec G304 -- the operator names the file.
	if err != nil {
		return &SettingsError{File: file, Problems: []Problem{{Reason: err.Error()}}}
	}
	faults := Decode(raw, into)
	if len(faults) > 0 {
		return &SettingsError{File: file, Problems: faults}
	}
	return nil
}

// Decode reads JSON settings into a struct and returns every fault.
func Decode(raw []byte, into any) []Problem {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(into); err != nil {
		return []Problem{decodeFault(err)}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return []Problem{{Reason: "there is data after the JSON object, one object is allowed"}}
	}
	var tree map[string]any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return []Problem{decodeFault(err)}
	}
	faults := unknownFields("", tree, reflect.TypeOf(into).Elem())
	return append(faults, Validate(into)...)
}

func decodeFault(err error) Problem {
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

// unknownFields returns a fault for every field of the tree that the struct type lacks.
// Names must match to the letter, other than in encoding/json.
func unknownFields(path string, tree map[string]any, t reflect.Type) []Problem {
	known, names := jsonFields(t)
	var faults []Problem
	for _, name := range sortedKeys(tree) {
		field, ok := known[name]
		at := joinName(path, name)
		if !ok {
			faults = append(faults, Problem{Path: at, Reason: "unknown setting, allowed here are " + strings.Join(names, ", ")})
			continue
		}
		faults = append(faults, unknownBelow(at, tree[name], field)...)
	}
	return faults
}

func unknownBelow(path string, value any, t reflect.Type) []Problem {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := value.(type) {
	case map[string]any:
		if t.Kind() == reflect.Struct {
			return unknownFields(path, value, t)
		}
	case []any:
		var faults []Problem
		for i, element := range value {
			faults = append(faults, unknownBelow(fmt.Sprintf("%s[%d]", path, i), element, t.Elem())...)
		}
		return faults
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

func joinName(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
