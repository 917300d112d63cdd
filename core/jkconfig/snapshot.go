package jkconfig

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// snapshot is the JSON form of a whole document.
type snapshot struct {
	Revision uint64                      `json:"revision"`
	Position uint64                      `json:"position"`
	Sections map[Section]snapshotSection `json:"sections"`
}

type snapshotSection struct {
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Snapshot returns the whole document as gzip of JSON, to be offered to another
// host.
func (d *Document) Snapshot() ([]byte, error) {
	s := snapshot{Revision: d.revision, Position: d.position, Sections: map[Section]snapshotSection{}}
	for name, c := range d.sections {
		s.Sections[name] = snapshotSection{Revision: c.revision, Value: c.text()}
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "encode document")
	}
	return pack(text)
}

// readSnapshot is the inverse of Snapshot.
func readSnapshot(packed []byte) (*Document, error) {
	text, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	var s snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, eris.Wrap(err, "decode document")
	}
	d := &Document{revision: s.Revision, position: s.Position, sections: map[Section]content{}}
	for name, section := range s.Sections {
		c, err := readContent(section.Value, section.Revision)
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

// advance returns the document after a change. A change with the whole document
// may skip revisions; any other one must be the next.
func (d *Document) advance(c Change) (*Document, error) {
	if len(c.Document) == 0 || (c.Revision == d.revision+1 && c.hasPatch()) {
		return d.apply(c)
	}
	next, err := readSnapshot(c.Document)
	if err != nil {
		return nil, err
	}
	if next.revision != c.Revision {
		return nil, eris.Errorf("revision %d holds the document of revision %d", c.Revision, next.revision)
	}
	next.position = c.Position
	return next, nil
}
