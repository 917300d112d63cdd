package jkschema

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// maxValueBytes is the length to which a value is truncated in an error.
const maxValueBytes = 60

var printer = message.NewPrinter(language.English)

// explain flattens the validator's tree of causes into a list of wrong fields.
func (s *Schema) explain(prefix string, value any, err error) []FieldError {
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return []FieldError{{Field: pathOrDocument(prefix), Allowed: err.Error()}}
	}
	var problems []FieldError
	var visit func(e *jsonschema.ValidationError)
	visit = func(e *jsonschema.ValidationError) {
		for _, c := range e.Causes {
			visit(c)
		}
		if len(e.Causes) == 0 {
			problems = append(problems, s.fieldErrors(prefix, value, e)...)
		}
	}
	visit(ve)
	return problems
}

// fieldErrors converts an error without causes. Missing and unknown keys of an object
// give one error each.
func (s *Schema) fieldErrors(prefix string, value any, e *jsonschema.ValidationError) []FieldError {
	field := fieldPath(prefix, value, e.InstanceLocation)
	wrong, schema := s.locate(value, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return errorPerName(k.Missing, func(name string) FieldError {
			return FieldError{Field: Join(field, name), Allowed: "a value, the field is required" + descriptionSuffix(property(schema, name))}
		})
	case *kind.AdditionalProperties:
		return errorPerName(k.Properties, func(name string) FieldError {
			return FieldError{Field: Join(field, name), Allowed: allowedKeys(schema)}
		})
	}
	problem := FieldError{Field: pathOrDocument(field), Value: formatField(wrong, schema), Allowed: allowed(e.ErrorKind)}
	if schema != nil {
		problem.Allowed += descriptionSuffix(schema)
	}
	return []FieldError{problem}
}

func errorPerName(names []string, build func(string) FieldError) []FieldError {
	var all []FieldError
	for _, name := range names {
		all = append(all, build(name))
	}
	return all
}

// allowed describes the values that a violated keyword accepts.
func allowed(k jsonschema.ErrorKind) string {
	switch k := k.(type) {
	case *kind.Type:
		return "type " + strings.Join(k.Want, " or ")
	case *kind.Enum:
		var names []string
		for _, w := range k.Want {
			names = append(names, fmt.Sprint(w))
		}
		return "one of " + strings.Join(names, ", ")
	case *kind.Minimum:
		return "at least " + k.Want.RatString()
	case *kind.Maximum:
		return "at most " + k.Want.RatString()
	case *kind.ExclusiveMinimum:
		return "more than " + k.Want.RatString()
	case *kind.ExclusiveMaximum:
		return "less than " + k.Want.RatString()
	case *kind.MinLength:
		return fmt.Sprintf("at least %d characters", k.Want)
	case *kind.MaxLength:
		return fmt.Sprintf("at most %d characters", k.Want)
	case *kind.MinItems:
		return fmt.Sprintf("at least %d items", k.Want)
	case *kind.Pattern:
		return "text matching " + k.Want
	case *kind.Format:
		return formatText(k.Want)
	}
	return k.LocalizedString(printer)
}

func formatText(name string) string {
	switch name {
	case "duration":
		return "a positive duration such as 500ms, 3s or 1h30m"
	case "address":
		return "an IP address and port such as 10.0.0.7:7000"
	case "http-url":
		return "a URL such as http://10.0.0.7:7100"
	}
	return "format " + name
}

// locate returns the value at a path and its schema. The schema is nil if it doesn't
// describe the path.
func (s *Schema) locate(value any, location []string) (any, *jsonschema.Schema) {
	schema := s.root
	for _, step := range location {
		switch v := value.(type) {
		case map[string]any:
			value, schema = v[step], property(schema, step)
		case []any:
			i, err := strconv.Atoi(step)
			if err != nil || i >= len(v) {
				return nil, nil
			}
			value, schema = v[i], items(schema)
		}
	}
	return value, schema
}

// resolve follows references. The description of a field is next to the reference, so
// callers read it from the schema before they resolve it.
func resolve(s *jsonschema.Schema) *jsonschema.Schema {
	for s != nil && s.Ref != nil {
		s = s.Ref
	}
	return s
}

func property(s *jsonschema.Schema, name string) *jsonschema.Schema {
	if s == nil {
		return nil
	}
	s = resolve(s)
	if p, ok := s.Properties[name]; ok {
		return p
	}
	for pattern, p := range s.PatternProperties {
		if pattern.MatchString(name) {
			return p
		}
	}
	return nil
}

func items(s *jsonschema.Schema) *jsonschema.Schema {
	if s == nil {
		return nil
	}
	s = resolve(s)
	if s.Items2020 != nil {
		return s.Items2020
	}
	all, _ := s.Items.(*jsonschema.Schema)
	return all
}

// allowedKeys describes the keys that an object may have.
func allowedKeys(s *jsonschema.Schema) string {
	s = resolve(s)
	if s == nil {
		return "a field of the schema"
	}
	for pattern := range s.PatternProperties {
		return "a key matching " + pattern.String()
	}
	var names []string
	for name := range s.Properties {
		names = append(names, name)
	}
	sort.Strings(names)
	return "one of the fields " + strings.Join(names, ", ")
}

// descriptionSuffix returns the description of a field in parentheses, or nothing.
func descriptionSuffix(s *jsonschema.Schema) string {
	if s == nil || s.Description == "" {
		return ""
	}
	return " (" + strings.TrimSuffix(s.Description, ".") + ")"
}

// formatField is FormatValue for the value of a field. It masks secrets, which the schema
// marks as writeOnly.
func formatField(value any, s *jsonschema.Schema) string {
	if s != nil && s.WriteOnly {
		return "(secret)"
	}
	return FormatValue(value)
}

// FormatValue returns the JSON text of a value, truncated for an error message.
func FormatValue(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if len(text) > maxValueBytes {
		return string(text[:maxValueBytes]) + "..."
	}
	return string(text)
}

// fieldPath returns the path of a field in the notation of FieldError.Field.
func fieldPath(prefix string, value any, location []string) string {
	at := prefix
	for _, step := range location {
		switch v := value.(type) {
		case []any:
			at += "[" + step + "]"
			if i, err := strconv.Atoi(step); err == nil && i < len(v) {
				value = v[i]
			}
		case map[string]any:
			at = Join(at, step)
			value = v[step]
		}
	}
	return at
}

// Join appends a key to a path.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func pathOrDocument(path string) string {
	if path == "" {
		return "(document)"
	}
	return path
}
