package jkschema

import (
	"bytes"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Schema is a compiled JSON schema.
type Schema struct {
	root *jsonschema.Schema
}

// Compile compiles the text of a schema. Besides the standard formats it knows
// duration (a positive Go duration string), address (IP address and port) and
// http-url. Restrict the names of keys by patternProperties: the validator reports
// a wrong location for a violation of propertyNames.
func Compile(name string, text []byte) (*Schema, error) { return CompileAt(name, "", text) }

// CompileAt compiles the part of a schema at a JSON pointer.
func CompileAt(name, pointer string, text []byte) (*Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, eris.Wrapf(err, "schema %s", name)
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	for format, check := range customFormats() {
		c.RegisterFormat(&jsonschema.Format{Name: format, Validate: check})
	}
	if err := c.AddResource(name, doc); err != nil {
		return nil, eris.Wrapf(err, "schema %s", name)
	}
	root, err := c.Compile(name + "#" + pointer)
	if err != nil {
		return nil, eris.Wrapf(err, "schema %s", name)
	}
	return &Schema{root: root}, nil
}

// MustCompile is like CompileAt but panics on an invalid schema. It is meant for
// embedded schemas.
func MustCompile(name, pointer string, text []byte) *Schema {
	s, err := CompileAt(name, pointer, text)
	if err != nil {
		panic(err)
	}
	return s
}

// Check returns all problems of a JSON text: invalid JSON, keys that occur twice in one
// object, and violations of the schema. The prefix comes before each path.
func (s *Schema) Check(prefix string, text []byte) []FieldError {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return []FieldError{{Field: pathOrDocument(prefix), Allowed: "valid JSON: " + err.Error()}}
	}
	problems := DuplicateKeys(prefix, text)
	if err := s.root.Validate(value); err != nil {
		problems = append(problems, s.explain(prefix, value, err)...)
	}
	return problems
}

// customFormats returns the checks of the formats that Compile adds to the standard.
func customFormats() map[string]func(any) error {
	return map[string]func(any) error{
		"duration": stringsOnly(func(text string) error {
			d, err := time.ParseDuration(text)
			if err == nil && d <= 0 {
				err = eris.New("not positive")
			}
			return err
		}),
		"address":  stringsOnly(checkAddress),
		"http-url": stringsOnly(checkURL),
	}
}

// stringsOnly applies a check to strings only; the type keyword rejects other types.
func stringsOnly(check func(string) error) func(any) error {
	return func(v any) error {
		text, ok := v.(string)
		if !ok {
			return nil
		}
		return check(text)
	}
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return eris.New("no IP address")
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil {
		return err
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return eris.New("no http URL")
	}
	return nil
}

// DuplicateKeys returns a problem for every key that occurs twice in one object. The
// standard decoder silently keeps the last value.
func DuplicateKeys(prefix string, text []byte) []FieldError {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var problems []FieldError
	walkKeys(d, prefix, &problems)
	return problems
}

// walkKeys reads one value and appends a problem for each duplicate key in it. It stops at
// invalid JSON, which Check has reported.
func walkKeys(d *json.Decoder, path string, problems *[]FieldError) {
	token, err := d.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		seen := map[string]bool{}
		for d.More() {
			token, err := d.Token()
			key, ok := token.(string)
			if err != nil || !ok {
				return
			}
			field := Join(path, key)
			if seen[key] {
				*problems = append(*problems, FieldError{Field: field, Allowed: "each key only once"})
			}
			seen[key] = true
			walkKeys(d, field, problems)
		}
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			walkKeys(d, path+"["+strconv.Itoa(i)+"]", problems)
		}
	default:
		return
	}
	// The closing delimiter.
	_, _ = d.Token()
}
