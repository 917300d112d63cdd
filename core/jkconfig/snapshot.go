package jkconfig

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// snapshotJSON is the JSON form of a whole document.
type snapshotJSON struct {
	Revision uint64                          `json:"revision"`
	Position uint64                          `json:"position"`
	Sections map[Section]snapshotSectionJSON `json:"sections"`
}

type snapshotSectionJSON struct {
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Snapshot returns the whole document as gzip-compressed JSON, for another host or
// for a revision's record.
func (d *Document) Snapshot() ([]byte, error) {
	s := snapshotJSON{Revision: d.revision, Position: d.position, Sections: map[Section]snapshotSectionJSON{}}
	for name, c := range d.sections {
		s.Sections[name] = snapshotSectionJSON{Revision: c.revision, Value: c.text()}
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "encode document")
	}
	return compress(text)
}

// decodeSnapshot returns the document of a Snapshot.
func decodeSnapshot(packed []byte) (*Document, error) {
	text, err := decompress(packed)
	if err != nil {
		return nil, err
	}
	var s snapshotJSON
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, eris.Wrap(err, "decode document")
	}
	d := &Document{revision: s.Revision, position: s.Position, sections: map[Section]sectionContent{}}
	for name, section := range s.Sections {
		c, err := decodeSection(section.Value, section.Revision)
		if err != nil {
			return nil, err
		}
		if err := d.update(name, c.entries); err != nil {
			return nil, err
		}
		d.sections[name] = c
	}
	return d, nil
}

// advance returns the document after a change. A change that holds the whole document
// may skip revisions; any other change must be the next revision.
func (d *Document) advance(c Change) (*Document, error) {
	if len(c.Document) == 0 || (c.Revision == d.revision+1 && c.hasPatch()) {
		return d.apply(c)
	}
	next, err := decodeSnapshot(c.Document)
	if err != nil {
		return nil, err
	}
	if next.revision != c.Revision {
		return nil, eris.Errorf("revision %d holds the document of revision %d", c.Revision, next.revision)
	}
	next.position = c.Position
	return next, nil
}
