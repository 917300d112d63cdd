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

// maxShown is the length in bytes to which a wrong value is cut in a report.
const maxShown = 60

var printer = message.NewPrinter(language.English)

// explain turns the validator's tree of causes into a flat list.
func (s *Schema) explain(prefix string, value any, err error) []FieldError {
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return []FieldError{{Field: rootName(prefix), Allowed: err.Error()}}
	}
	var problems []FieldError
	var visit func(e *jsonschema.ValidationError)
	visit = func(e *jsonschema.ValidationError) {
		for _, c := range e.Causes {
			visit(c)
		}
		if len(e.Causes) == 0 {
			problems = append(problems, s.leaf(prefix, value, e)...)
		}
	}
	visit(ve)
	return problems
}

func (s *Schema) leaf(prefix string, value any, e *jsonschema.ValidationError) []FieldError {
	field := path(prefix, value, e.InstanceLocation)
	at, schema := s.locate(value, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return each(k.Missing, func(name string) FieldError {
			return FieldError{Field: Join(field, name), Allowed: "a value, the field is required" + about(property(schema, name))}
		})
	case *kind.AdditionalProperties:
		return each(k.Properties, func(name string) FieldError {
			return FieldError{Field: Join(field, name), Allowed: known(schema)}
		})
	}
	problem := FieldError{Field: rootName(field), Value: shown(at, schema), Allowed: allowed(e.ErrorKind)}
	if schema != nil {
		problem.Allowed += about(schema)
	}
	return []FieldError{problem}
}

func each(names []string, build func(string) FieldError) []FieldError {
	var all []FieldError
	for _, name := range names {
		all = append(all, build(name))
	}
	return all
}

// allowed tells what a violated keyword accepts.
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

// locate follows a path through the value and the schema. The schema is nil
// where the path leaves it.
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

// resolve follows references. A description stands beside the reference, so it
// is read before.
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

// known tells which keys an object may have.
func known(s *jsonschema.Schema) string {
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

// about returns the description of a field in parentheses.
func about(s *jsonschema.Schema) string {
	if s == nil || s.Description == "" {
		return ""
	}
	return " (" + strings.TrimSuffix(s.Description, ".") + ")"
}

// shown returns the JSON text of a value. Fields that the schema marks as
// writeOnly are secrets.
func shown(value any, s *jsonschema.Schema) string {
	if s != nil && s.WriteOnly {
		return "(secret)"
	}
	return Shown(value)
}

// Shown returns the JSON text of a value, shortened for a report.
func Shown(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if len(text) > maxShown {
		return string(text[:maxShown]) + "..."
	}
	return string(text)
}

func path(prefix string, value any, location []string) string {
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

func rootName(path string) string {
	if path == "" {
		return "(document)"
	}
	return path
}
