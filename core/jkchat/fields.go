package jkchat

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
)

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field   string
	Value   any
	Allowed string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: got %v, allowed: %s", e.Field, e.Value, e.Allowed)
}

// splitFields decodes the fields named in known and returns the others. Names
// are matched exactly: encoding/json alone would accept "Model" for "model",
// and the engine might then read another value than this package.
func splitFields(data []byte, known map[string]any) (map[string]json.RawMessage, error) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, &FieldError{Field: "body", Value: err.Error(), Allowed: "a JSON object"}
	}
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	sort.Strings(names) // the same invalid body always reports the same field
	for _, name := range names {
		raw, ok := all[name]
		delete(all, name)
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, known[name]); err != nil {
			return nil, &FieldError{Field: name, Value: truncate(raw), Allowed: allowedFor(err)}
		}
	}
	if len(all) == 0 {
		return nil, nil
	}
	return all, nil
}

// AllowedType names the JSON type that a decoding error expected.
func AllowedType(e *json.UnmarshalTypeError) string {
	switch e.Type.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map, reflect.Pointer:
		return "an object"
	default:
		return e.Type.String()
	}
}

// allowedFor describes the value that a decoding error expected.
func allowedFor(err error) string {
	var field *FieldError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &field):
		return field.Field + ": " + field.Allowed
	case errors.As(err, &typed):
		return AllowedType(typed)
	}
	return err.Error()
}

// joinFields encodes a struct and appends extra fields in sorted order.
func joinFields(known any, extra map[string]json.RawMessage) ([]byte, error) {
	body, err := json.Marshal(known)
	if err != nil || len(extra) == 0 {
		return body, err
	}
	extraBody, err := json.Marshal(extra)
	if err != nil {
		return nil, err
	}
	return bytes.Join([][]byte{body[:len(body)-1], extraBody[1:]}, []byte(",")), nil
}

// truncate shortens a value for an error message.
func truncate(raw []byte) string {
	const maxBytes = 64
	if len(raw) > maxBytes {
		return string(raw[:maxBytes]) + "..."
	}
	return string(raw)
}
