package jkconfig

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"pgregory.net/rapid"
)

// randomSection draws a valid text of the section capacity.
func randomSection(t *rapid.T, label string) []byte {
	entries := rapid.MapOfN(
		rapid.SampledFrom([]string{"default", "e1", "e2", "a.b", "x_y"}),
		rapid.MapOf(
			rapid.SampledFrom([]string{"shed_above", "retry_ratio", "slow_factor", "second_dispatch_ratio"}),
			rapid.SampledFrom([]any{0.01, 0.05, 1, 1.0, 1e-2, 3.25}),
		), 0, 5).Draw(t, label)
	text, err := json.Marshal(map[string]any{"owner": rapid.SampledFrom([]string{"a", "b"}).Draw(t, label), "entries": entries})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against a patch after which hosts have another text than the editor's, and
// against a snapshot that loses content.
func TestPatchesGiveTheEditedText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := Empty()
		for range rapid.IntRange(1, 6).Draw(rt, "edits") {
			want, err := normalise(randomSection(rt, "section"))
			if err != nil {
				rt.Fatal(err)
			}
			old, _ := d.Text(SectionCapacity)
			patch, err := jsonpatch.CreateMergePatch(old, want)
			if err != nil {
				rt.Fatal(err)
			}
			c := Change{Revision: d.revision + 1, Section: SectionCapacity}
			if err := c.setPatch(patch); err != nil {
				rt.Fatal(err)
			}
			if d, err = d.apply(c); err != nil {
				rt.Fatal(err)
			}
			if got, _ := d.Text(SectionCapacity); !bytes.Equal(got, want) {
				rt.Fatalf("got %s, want %s", got, want)
			}
		}
		packed, err := d.Snapshot()
		if err != nil {
			rt.Fatal(err)
		}
		copied, err := decodeSnapshot(packed)
		if err != nil {
			rt.Fatal(err)
		}
		a, _ := d.Text(SectionCapacity)
		b, _ := copied.Text(SectionCapacity)
		if !bytes.Equal(a, b) || len(copied.capacity) != len(d.capacity) {
			rt.Fatalf("snapshot has %s, want %s", b, a)
		}
	})
}

// Guards against a revision whose whole document doesn't fit into its record because
// its patch is large: no edit would be accepted after it.
func TestLargePatchIsLeftOut(t *testing.T) {
	random := rand.NewChaCha8([32]byte{1})
	document, packed := make([]byte, maxSnapshotBytes), make([]byte, 200<<10)
	_, _ = random.Read(document)
	_, _ = random.Read(packed)
	c := Change{Revision: blockSize, Section: SectionHosts, Document: document, Packed: packed, EditID: strings.Repeat("i", 100)}
	text, err := c.encode()
	if err != nil {
		t.Fatal(err)
	}
	var stored Change
	if err := json.Unmarshal(text, &stored); err != nil || stored.hasPatch() || len(stored.Document) != maxSnapshotBytes {
		t.Fatalf("%d bytes stored, patch %v: %v", len(text), stored.hasPatch(), err)
	}
	c.Document, c.Packed = nil, make([]byte, 1<<20)
	if _, err := c.encode(); err == nil {
		t.Fatal("accepted a patch that doesn't fit")
	}
}
