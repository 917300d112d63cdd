package jkconfig

import (
	"bytes"
	"encoding/json"
	"maps"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/rotisserie/eris"
)

// emptySection is the text of a section that nobody has written yet.
const emptySection = "{}"

// content is one section, kept as one normalised JSON text per entry. With one
// text for the whole section, a change of one endpoint among 7,900 would parse
// and write 1.4 MB on each host.
type content struct {
	// revision is the last one that changed the section; 0 if nobody has
	// written it.
	revision uint64
	owner    string
	entries  map[string][]byte
}

// sectionFile is the JSON form of a section, and of a merge patch for one.
type sectionFile struct {
	Entries map[string]json.RawMessage `json:"entries"`
	Owner   string                     `json:"owner,omitempty"`
}

// text returns the normalised JSON text of the section.
func (c content) text() []byte {
	if c.revision == 0 {
		return []byte(emptySection)
	}
	f := sectionFile{Owner: c.owner, Entries: make(map[string]json.RawMessage, len(c.entries))}
	for id, text := range c.entries {
		f.Entries[id] = text
	}
	text, err := json.Marshal(f)
	if err != nil {
		// Each entry has been decoded and encoded before.
		panic(eris.Wrap(err, "encode section"))
	}
	return text
}

// patched returns the section after a merge patch, and the entries that it
// changed; nil stands for a removed one.
func (c content) patched(patch []byte, revision uint64) (content, map[string][]byte, error) {
	var f sectionFile
	d := json.NewDecoder(bytes.NewReader(patch))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return content{}, nil, eris.Wrap(err, "decode patch")
	}
	next := content{revision: revision, owner: c.owner, entries: maps.Clone(c.entries)}
	if next.entries == nil {
		next.entries = map[string][]byte{}
	}
	if f.Owner != "" {
		next.owner = f.Owner
	}
	changed := make(map[string][]byte, len(f.Entries))
	for id, p := range f.Entries {
		text, err := c.patchedEntry(id, p)
		if err != nil {
			return content{}, nil, eris.Wrapf(err, "entry %q", id)
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

func (c content) patchedEntry(id string, patch []byte) ([]byte, error) {
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

// readContent reads the JSON text of a whole section.
func readContent(text []byte, revision uint64) (content, error) {
	c, _, err := content{}.patched(text, revision)
	return c, err
}
