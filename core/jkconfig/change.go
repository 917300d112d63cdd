package jkconfig

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkplatform"
)

const (
	// keyPrefix begins the keys of all revisions' records at the platform.
	keyPrefix = "config/"
	// keyDigits is the length to which revision numbers are padded with zeros.
	// 12 digits last for 57,000 years at 48,000 changes a day.
	keyDigits = 12
	// blockSize is the number of revisions in a block. The first revision of a
	// block holds the whole document, so a host reads one block to start. It is a
	// power of ten, so that one list by key prefix returns a block.
	// docs/decisions/configuration.md has the calculation.
	blockSize = 1000
	// compressAboveBytes is the size above which a patch is stored compressed.
	compressAboveBytes = 16 << 10
	// maxSnapshotBytes bounds the compressed document, so that its base64 text fits
	// into a record of the platform together with the other fields.
	maxSnapshotBytes = 720 << 10
)

// Change is one revision as it is stored at the platform and sent between hosts: the
// difference from the previous revision.
type Change struct {
	Revision uint64  `json:"revision"`
	EditID   string  `json:"edit_id"`
	Team     string  `json:"team"`
	Section  Section `json:"section"`
	// Base is the revision that the edit was made from.
	Base uint64    `json:"base_revision"`
	At   time.Time `json:"at"`
	// Patch is a JSON merge patch (RFC 7396) of the section. A large patch is in
	// Packed instead, compressed by gzip.
	Patch  json.RawMessage `json:"patch,omitempty"`
	Packed []byte          `json:"packed,omitempty"`
	// Document is the whole document after the change, encoded by
	// Document.Snapshot. Only revisions divisible by 1000 have it.
	Document []byte `json:"document,omitempty"`
	// Position is the platform's version of the record. It isn't stored there.
	Position uint64 `json:"position,omitempty"`
}

// revisionKey is the platform's key of a revision's record.
func revisionKey(revision uint64) string {
	return fmt.Sprintf("%s%0*d", keyPrefix, keyDigits, revision)
}

// blockKeyPrefix is the common prefix of the keys of a block.
func blockKeyPrefix(block uint64) string {
	return fmt.Sprintf("%s%0*d", keyPrefix, keyDigits-3, block)
}

func (c Change) hasPatch() bool { return len(c.Patch) > 0 || len(c.Packed) > 0 }

// patch returns the merge patch, decompressed if it is stored compressed.
func (c Change) patch() ([]byte, error) {
	if len(c.Packed) > 0 {
		return decompress(c.Packed)
	}
	if len(c.Patch) == 0 {
		return nil, eris.Errorf("revision %d has no patch", c.Revision)
	}
	return c.Patch, nil
}

// setPatch stores the merge patch, compressed if it is large.
func (c *Change) setPatch(patch []byte) error {
	if len(patch) <= compressAboveBytes {
		c.Patch = patch
		return nil
	}
	packed, err := compress(patch)
	c.Packed = packed
	return err
}

// encode returns the value of the revision's record. A revision with the whole
// document leaves the patch out if they don't fit into the record together.
func (c Change) encode() ([]byte, error) {
	c.Position = 0
	text, err := json.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encode change")
	}
	if len(text) > jkplatform.MaxValue && len(c.Document) > 0 {
		c.Patch, c.Packed = nil, nil
		if text, err = json.Marshal(c); err != nil {
			return nil, eris.Wrap(err, "encode change")
		}
	}
	if len(text) > jkplatform.MaxValue {
		return nil, &TooLargeError{Section: c.Section, Size: len(text), Limit: jkplatform.MaxValue}
	}
	return text, nil
}

// decodeChange reads a record of the platform.
func decodeChange(r jkplatform.Record) (Change, error) {
	var c Change
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return c, eris.Wrapf(err, "decode record %s", r.Key)
	}
	if revisionKey(c.Revision) != r.Key {
		return c, eris.Errorf("record %s holds revision %d", r.Key, c.Revision)
	}
	c.Position = r.Version
	return c, nil
}

// memoryBytes estimates the bytes that a change takes in memory, without the document.
func (c Change) memoryBytes() int { return len(c.Patch) + len(c.Packed) + 256 }
