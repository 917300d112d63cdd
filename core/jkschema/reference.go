package jkschema

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// node is what the reference shows of a schema.
type node struct {
	Ref         string           `json:"$ref"`
	Type        string           `json:"type"`
	Description string           `json:"description"`
	Format      string           `json:"format"`
	Pattern     string           `json:"pattern"`
	Enum        []string         `json:"enum"`
	Required    []string         `json:"required"`
	Properties  map[string]*node `json:"properties"`
	Patterns    map[string]*node `json:"patternProperties"`
	Items       *node            `json:"items"`
	Defs        map[string]*node `json:"$defs"`
	Minimum     *json.Number     `json:"minimum"`
	Above       *json.Number     `json:"exclusiveMinimum"`
	Maximum     *json.Number     `json:"maximum"`
	Below       *json.Number     `json:"exclusiveMaximum"`
	MinLength   *int             `json:"minLength"`
	MinItems    *int             `json:"minItems"`
	MaxItems    *int             `json:"maxItems"`
	MaxEntries  *int             `json:"maxProperties"`
}

// reference writes the rows of one table.
type reference struct {
	root     *node
	defaults map[string]any
	out      strings.Builder
}

// Reference returns Markdown tables of all fields of a schema. Each top-level
// field gets a table of its own if split is set, in the given order. Defaults
// is a JSON text with the values of fields that are left out, or nil.
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
		r.head()
		r.fields("", r.root)
		return r.out.String(), nil
	}
	for _, name := range split {
		top := r.root.Properties[name]
		fmt.Fprintf(&r.out, "### %s\n\n%s.\n\n", name, capital(top.Description))
		r.head()
		r.fields("", r.resolve(top))
		r.out.WriteString("\n")
	}
	return strings.TrimSuffix(r.out.String(), "\n"), nil
}

func (r *reference) head() {
	r.out.WriteString("| field | value | meaning |\n|---|---|---|\n")
}

func (r *reference) resolve(n *node) *node {
	if n.Ref == "" {
		return n
	}
	return r.root.Defs[n.Ref[strings.LastIndex(n.Ref, "/")+1:]]
}

// fields writes the fields of an object, the required ones first.
func (r *reference) fields(path string, n *node) {
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
		r.field(Join(path, name), n.Properties[name], slices.Contains(n.Required, name))
	}
	for _, entry := range n.Patterns {
		r.fields(Join(path, "*"), r.resolve(entry))
	}
}

func (r *reference) field(path string, n *node, required bool) {
	of := r.resolve(n)
	value := r.describe(of)
	if of.Items != nil {
		value += " of " + r.describe(r.resolve(of.Items))
	}
	if required {
		value += ", required"
	}
	if d, ok := r.standard(path); ok {
		value += ", default " + Shown(d)
	}
	fmt.Fprintf(&r.out, "| `%s` | %s | %s |\n", path, strings.ReplaceAll(value, "|", `\|`), n.Description)
	r.fields(path, of)
	if of.Items != nil {
		r.fields(path+"[]", r.resolve(of.Items))
	}
}

// standard returns the default of a field that is neither an object nor unset.
func (r *reference) standard(path string) (any, bool) {
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

// isName reports whether a pattern is that of the definition name.
func (r *reference) isName(pattern string) bool {
	name, ok := r.root.Defs["name"]
	return ok && name.Pattern == pattern
}

// describe tells which values a field may have.
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
	for pattern := range n.Patterns {
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
	add("at least %v", pointed(n.Minimum), n.Minimum != nil)
	add("above %v", pointed(n.Above), n.Above != nil)
	add("at most %v", pointed(n.Maximum), n.Maximum != nil)
	add("below %v", pointed(n.Below), n.Below != nil)
	for _, limit := range []struct {
		form string
		v    *int
	}{{"at least %d characters", n.MinLength}, {"at least %d items", n.MinItems}, {"at most %d items", n.MaxItems}, {"at most %d entries", n.MaxEntries}} {
		if limit.v != nil {
			add(limit.form, *limit.v, true)
		}
	}
	if len(all) == 0 {
		return ""
	}
	return " (" + strings.Join(all, ", ") + ")"
}

func pointed(n *json.Number) json.Number {
	if n == nil {
		return ""
	}
	return *n
}

func capital(text string) string {
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}
