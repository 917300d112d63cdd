package jkschema

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// node holds the keywords of a schema that appear in the reference.
type node struct {
	Ref               string           `json:"$ref"`
	Type              string           `json:"type"`
	Description       string           `json:"description"`
	Format            string           `json:"format"`
	Pattern           string           `json:"pattern"`
	Enum              []string         `json:"enum"`
	Required          []string         `json:"required"`
	Properties        map[string]*node `json:"properties"`
	PatternProperties map[string]*node `json:"patternProperties"`
	Items             *node            `json:"items"`
	Defs              map[string]*node `json:"$defs"`
	Minimum           *json.Number     `json:"minimum"`
	ExclusiveMinimum  *json.Number     `json:"exclusiveMinimum"`
	Maximum           *json.Number     `json:"maximum"`
	ExclusiveMaximum  *json.Number     `json:"exclusiveMaximum"`
	MinLength         *int             `json:"minLength"`
	MinItems          *int             `json:"minItems"`
	MaxItems          *int             `json:"maxItems"`
	MaxProperties     *int             `json:"maxProperties"`
}

// reference writes the Markdown tables of a schema.
type reference struct {
	root     *node
	defaults map[string]any
	out      strings.Builder
}

// Reference returns Markdown tables of all fields of a schema. If split is set, the
// top-level fields that it names get a table each, in the given order. Defaults is a
// JSON text with the default values of optional fields, or nil.
func Reference(text, defaults []byte, split []string) (string, error) {
	r := &reference{root: &node{}}
	if err := json.Unmarshal(text, r.root); err != nil {
		return "", eris.Wrap(err, "read schema")
	}
	if len(defaults) > 0 {
		if err := json.Unmarshal(defaults, &r.defaults); err != nil {
			return "", eris.Wrap(err, "read defaults")
		}
	}
	if len(split) == 0 {
		r.writeHeader()
		r.writeFields("", r.root)
		return r.out.String(), nil
	}
	for _, name := range split {
		top := r.root.Properties[name]
		fmt.Fprintf(&r.out, "### %s\n\n%s.\n\n", name, capitalize(top.Description))
		r.writeHeader()
		r.writeFields("", r.resolve(top))
		r.out.WriteString("\n")
	}
	return strings.TrimSuffix(r.out.String(), "\n"), nil
}

func (r *reference) writeHeader() {
	r.out.WriteString("| field | value | meaning |\n|---|---|---|\n")
}

func (r *reference) resolve(n *node) *node {
	if n.Ref == "" {
		return n
	}
	return r.root.Defs[n.Ref[strings.LastIndex(n.Ref, "/")+1:]]
}

// writeFields writes the rows of an object's fields, the required ones first.
func (r *reference) writeFields(path string, n *node) {
	names := make([]string, 0, len(n.Properties))
	for name := range n.Properties {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := slices.Contains(n.Required, names[i]), slices.Contains(n.Required, names[j])
		if a != b {
			return a
		}
		return names[i] < names[j]
	})
	for _, name := range names {
		r.writeField(Join(path, name), n.Properties[name], slices.Contains(n.Required, name))
	}
	for _, entry := range n.PatternProperties {
		r.writeFields(Join(path, "*"), r.resolve(entry))
	}
}

// writeField writes the row of a field and the rows of the fields in it.
func (r *reference) writeField(path string, n *node, required bool) {
	resolved := r.resolve(n)
	value := r.describe(resolved)
	if resolved.Items != nil {
		value += " of " + r.describe(r.resolve(resolved.Items))
	}
	if required {
		value += ", required"
	}
	if d, ok := r.defaultValue(path); ok {
		value += ", default " + FormatValue(d)
	}
	fmt.Fprintf(&r.out, "| `%s` | %s | %s |\n", path, strings.ReplaceAll(value, "|", `\|`), n.Description)
	r.writeFields(path, resolved)
	if resolved.Items != nil {
		r.writeFields(path+"[]", r.resolve(resolved.Items))
	}
}

// defaultValue returns the default of a field unless it is unset, empty or an object.
func (r *reference) defaultValue(path string) (any, bool) {
	var value any = r.defaults
	for _, step := range strings.Split(path, ".") {
		fields, ok := value.(map[string]any)
		if !ok {
			return nil, false
		}
		value = fields[step]
	}
	switch value.(type) {
	case nil, map[string]any:
		return nil, false
	}
	return value, value != ""
}

// isName reports whether a pattern is that of the schema's definition "name".
func (r *reference) isName(pattern string) bool {
	name, ok := r.root.Defs["name"]
	return ok && name.Pattern == pattern
}

// describe returns the type and limits of a field's values.
func (r *reference) describe(n *node) string {
	switch {
	case r.isName(n.Pattern):
		return "name"
	case len(n.Enum) > 0:
		return strings.Join(n.Enum, ", ")
	case n.Format == "duration":
		return "duration"
	case n.Format == "address":
		return "IP address and port"
	case n.Format == "http-url":
		return "URL"
	case n.Pattern != "":
		return "text `" + n.Pattern + "`"
	}
	for pattern := range n.PatternProperties {
		if r.isName(pattern) {
			return "object with names as keys" + limits(n)
		}
		return fmt.Sprintf("object with keys `%s`%s", pattern, limits(n))
	}
	if n.Type == "string" {
		return "text" + limits(n)
	}
	return n.Type + limits(n)
}

func limits(n *node) string {
	var all []string
	add := func(form string, v any, set bool) {
		if set {
			all = append(all, fmt.Sprintf(form, v))
		}
	}
	add("at least %v", numberOrEmpty(n.Minimum), n.Minimum != nil)
	add("above %v", numberOrEmpty(n.ExclusiveMinimum), n.ExclusiveMinimum != nil)
	add("at most %v", numberOrEmpty(n.Maximum), n.Maximum != nil)
	add("below %v", numberOrEmpty(n.ExclusiveMaximum), n.ExclusiveMaximum != nil)
	for _, limit := range []struct {
		form string
		v    *int
	}{{"at least %d characters", n.MinLength}, {"at least %d items", n.MinItems}, {"at most %d items", n.MaxItems}, {"at most %d entries", n.MaxProperties}} {
		if limit.v != nil {
			add(limit.form, *limit.v, true)
		}
	}
	if len(all) == 0 {
		return ""
	}
	return " (" + strings.Join(all, ", ") + ")"
}

func numberOrEmpty(n *json.Number) json.Number {
	if n == nil {
		return ""
	}
	return *n
}

func capitalize(text string) string {
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}
