package jkconfig

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkschema"
)

// maxSectionBytes bounds the text of one section. The largest section of the largest
// planned fleet is endpoints: 7,900 entries with about 1.6 MB.
const maxSectionBytes = 8 << 20

// Validate returns the problems that the document would have with the given sections
// replaced, as one *jkschema.ReportError, or nil if it would be valid. Sections that
// the map doesn't name stay as they are.
func (d *Document) Validate(replace map[Section][]byte) error {
	next := d.tables
	found := &findings{}
	faulty := map[Section]bool{}
	for s, text := range replace {
		problems := checkSection(s, text)
		if len(problems) == 0 {
			if err := next.replace(s, text); err != nil {
				problems = []jkschema.FieldError{{Field: string(s), Allowed: err.Error()}}
			}
		}
		faulty[s] = len(problems) > 0
		found.problems = append(found.problems, problems...)
	}
	next.checkRules(faulty, found)
	return jkschema.Report("configuration", found.problems)
}

// checkRules runs the rules between sections on the decoded tables. Rules that need a
// faulty section are skipped.
func (t *tables) checkRules(faulty map[Section]bool, found *findings) {
	for _, r := range rules() {
		if !anyFaulty(r.needs, faulty) {
			r.check(t, found)
		}
	}
}

// replace decodes the whole text of a section into its table.
func (t *tables) replace(s Section, text []byte) error {
	text, err := normalise(text)
	if err != nil {
		return err
	}
	var f sectionJSON
	if err := json.Unmarshal(text, &f); err != nil {
		return eris.Wrapf(err, "decode section %s", s)
	}
	t.clear(s)
	changed := make(map[string][]byte, len(f.Entries))
	for id, entry := range f.Entries {
		changed[id] = entry
	}
	return t.update(s, changed)
}

func anyFaulty(sections []Section, faulty map[Section]bool) bool {
	for _, s := range sections {
		if faulty[s] {
			return true
		}
	}
	return false
}

// checkSection checks one section against its schema, without the rules between
// sections.
func checkSection(s Section, text []byte) []jkschema.FieldError {
	schema, ok := schemas[s]
	if !ok {
		return []jkschema.FieldError{{Field: string(s), Allowed: "one of the sections " + sectionNames()}}
	}
	if len(text) > maxSectionBytes {
		return []jkschema.FieldError{{Field: string(s), Allowed: "at most 8 MiB"}}
	}
	return schema.Check(string(s), text)
}

func sectionNames() string {
	var names []string
	for _, s := range Sections() {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}
