package jksched

// maxMarkedParts bounds the parts of a prompt that are looked up.
const maxMarkedParts = 64

// markCached sets how many tokens of the call's prompt each endpoint is expected to read.
func (d *DirectPlacer) markCached(c Call) {
	for i, part := range c.Prefix[:min(len(c.Prefix), maxMarkedParts)] {
		holders := d.parts[part.Hash]
		if i == 0 && len(c.Prefix) > 1 {
			d.markPart(d.preferredEndpoints(c.Service, part.Hash), i)
		} else if i == len(c.Prefix)-1 && len(holders) == 0 && d.primary != nil {
			d.primary.markPart(d.placed, i)
		}
		d.markPart(holders, i)
	}
	for _, row := range d.services[c.Service] {
		row.uncached = row.uncachedOf(c, d.placed)
	}
}

func (d *DirectPlacer) markPart(rows []*directRow, part int) {
	for _, row := range rows {
		row.markPart(d.placed, part)
	}
}

// markPart records that the endpoint is expected to have a part of the prompt of a call.
func (r *directRow) markPart(call uint64, part int) {
	if r.cachedFor != call {
		r.cachedFor, r.cachedParts = call, 0
	}
	r.cachedParts |= 1 << part
}

// uncachedOf returns how many tokens of the prompt the endpoint has to read. A part counts as
// cached only if all parts before it are.
func (r *directRow) uncachedOf(c Call, call uint64) int64 {
	left := c.PromptTokens
	if r.cachedFor != call {
		return max(left, 0)
	}
	for i, part := range c.Prefix {
		if i >= maxMarkedParts || r.cachedParts&(1<<i) == 0 {
			break
		}
		left -= part.Tokens
	}
	return max(left, 0)
}
