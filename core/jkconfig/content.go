package jkconfig

import (
	"bytes"
	"encoding/json"
	"maps"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/rotisserie/eris"
)

// emptySectionText is the text of a section that nobody has written yet.
const emptySectionText = "{}"

// sectionContent is one section, stored as one normalised JSON text per entry. With
// one text for the whole section, a change of one endpoint among 7,900 would parse
// and write 1.4 MB on each host.
type sectionContent struct {
	// revision is the last one that changed the section; 0 if nobody has
	// written it.
	revision uint64
	owner    string
	entries  map[string][]byte
}

// sectionJSON is the JSON form of a section, and of a merge patch for one.
type sectionJSON struct {
	Entries map[string]json.RawMessage `json:"entries"`
	Owner   string                     `json:"owner,omitempty"`
}

// text returns the normalised JSON text of the section.
func (c sectionContent) text() []byte {
	if c.revision == 0 {
		return []byte(emptySectionText)
	}
	f := sectionJSON{Owner: c.owner, Entries: make(map[string]json.RawMessage, len(c.entries))}
	for id, text := range c.entries {
		f.Entries[id] = text
	}
	text, err := json.Marshal(f)
	if err != nil {
		// Can't happen: every entry is the output of an earlier encoding.
		panic(eris.Wrap(err, "encode section"))
	}
	return text
}

// applyPatch returns the section after a merge patch, and the texts of the entries
// that it changed; a removed entry has the text nil.
func (c sectionContent) applyPatch(patch []byte, revision uint64) (sectionContent, map[string][]byte, error) {
	var f sectionJSON
	d := json.NewDecoder(bytes.NewReader(patch))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return sectionContent{}, nil, eris.Wrap(err, "decode patch")
	}
	next := sectionContent{revision: revision, owner: c.owner, entries: maps.Clone(c.entries)}
	if next.entries == nil {
		next.entries = map[string][]byte{}
	}
	if f.Owner != "" {
		next.owner = f.Owner
	}
	changed := make(map[string][]byte, len(f.Entries))
	for id, p := range f.Entries {
		text, err := c.mergeEntry(id, p)
		if err != nil {
			return sectionContent{}, nil, eris.Wrapf(err, "entry %q", id)
		}
		changed[id] = text
		if text == nil {
			delete(next.entries, id)
			continue
		}
		next.entries[id] = text
	}
	return next, changed, nil
}

// mergeEntry returns the text of an entry after a merge patch, or nil if the patch
// removes the entry.
func (c sectionContent) mergeEntry(id string, patch []byte) ([]byte, error) {
	if string(patch) == "null" {
		return nil, nil
	}
	old, ok := c.entries[id]
	if !ok {
		old = []byte("{}")
	}
	text, err := jsonpatch.MergePatch(old, patch)
	if err != nil {
		return nil, eris.Wrap(err, "merge")
	}
	return normalise(text)
}

// decodeSection reads the JSON text of a whole section.
func decodeSection(text []byte, revision uint64) (sectionContent, error) {
	c, _, err := sectionContent{}.applyPatch(text, revision)
	return c, err
}
