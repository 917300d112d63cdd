package jkconfig

import (
	"context"
	"slices"
)

// DocumentAt returns the document of a revision. Any other than the newest known one is
// read from the platform.
func (f *Follower) DocumentAt(ctx context.Context, revision uint64) (*Document, error) {
	d := f.Newest()
	if revision == d.revision {
		return d, nil
	}
	return f.reader.readDocument(ctx, revision)
}

// History returns up to limit changes before a revision, the newest first. They come
// from memory if it has all of them, or else from the platform.
func (f *Follower) History(ctx context.Context, before uint64, limit int) ([]Change, error) {
	before = min(before, f.Revision()+1)
	if before <= 1 || limit <= 0 {
		return nil, nil
	}
	until := before - 1
	after := until - min(until, uint64(limit))
	changes, ok := f.recentAfter(after)
	if ok {
		changes = changes[:until-after]
	} else {
		var err error
		if changes, err = f.reader.readChanges(ctx, after, until); err != nil {
			return nil, err
		}
	}
	slices.Reverse(changes)
	return changes, nil
}

// MergePatch returns the merge patch (RFC 7396) of the change, or nil if its record has no
// patch.
func (c Change) MergePatch() ([]byte, error) {
	if !c.hasPatch() {
		return nil, nil
	}
	return c.patch()
}
