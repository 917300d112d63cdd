package jksched

import (
	"slices"
	"time"
)

type modelEngine struct {
	id      string
	zone    string
	running []*modelRun
	waiting []*modelRun
	// cache holds the cached prompt parts, the least recently used first.
	cache []Segment
	// turns is the number of turns that were sent to the engine.
	turns int
	// sharedParts is the number of turns with each shared part.
	sharedParts map[string]int
}

type modelRun struct {
	host   *modelHost
	call   Call
	start  time.Time
	rank   int
	events int
	// uncached is what the host expects the engine to prefill.
	uncached int64
	first    time.Time
	ends     time.Time
	// endChanges counts the changes of ends, so that outdated end events are ignored.
	endChanges int
	done       func()
}

// admit starts waiting runs on the engine's free slots, the lowest rank first.
func (m *fleetModel) admit(e *modelEngine) {
	for len(e.running) < m.site.slots && len(e.waiting) > 0 {
		best := 0
		for i, r := range e.waiting {
			if r.rank < e.waiting[best].rank {
				best = i
			}
		}
		r := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		unread := e.prefill(m.site, r.call.Prefix, r.call.PromptTokens)
		m.prefilledTokens += unread
		if unread > m.site.sharedTokens {
			m.sharedPrefilledTokens += m.site.sharedTokens
		}
		prefill := time.Duration(unread) * m.site.prefill
		for _, o := range e.running {
			m.scheduleEnd(e, o, o.ends.Add(prefill))
		}
		e.running = append(e.running, r)
		step := m.site.tokenPace + time.Duration(len(e.running))*m.site.pacePerCall
		work := prefill + time.Duration(r.events*m.site.tokensPerEvent)*step
		r.first = m.now.Add(prefill + time.Duration(m.site.tokensPerEvent)*step)
		m.firstTokenWaits = append(m.firstTokenWaits, r.first.Sub(r.start))
		m.scheduleEnd(e, r, m.now.Add(work))
		load := DirectLoad{Running: len(e.running), Waiting: len(e.waiting), Slots: m.site.slots, Pace: 1}
		h := r.host
		m.after(r.first.Sub(m.now), func() {
			h.direct.Report(m.now, e.id, load)
			h.direct.FirstEvent(e.id, r.uncached, m.now.Sub(r.start), load)
			h.reported[e.id], h.reportedAt[e.id] = load, m.now
		})
	}
}

// scheduleEnd sets or changes the time at which a run ends.
func (m *fleetModel) scheduleEnd(e *modelEngine, r *modelRun, at time.Time) {
	r.ends = at
	r.endChanges++
	changes := r.endChanges
	m.after(at.Sub(m.now), func() {
		if changes != r.endChanges {
			return
		}
		e.running = slices.Delete(e.running, slices.Index(e.running, r), slices.Index(e.running, r)+1)
		r.done()
		m.admit(e)
	})
}

// prefill adds the parts to the cache and returns the number of tokens that weren't
// cached.
func (e *modelEngine) prefill(site modelSite, parts []Segment, prompt int64) int64 {
	missing, cached := prompt, true
	for _, p := range parts {
		i := slices.IndexFunc(e.cache, func(c Segment) bool { return c.Hash == p.Hash })
		if i >= 0 {
			if cached {
				missing -= e.cache[i].Tokens
			}
			e.cache = slices.Delete(e.cache, i, i+1)
		} else {
			cached = false
		}
		e.cache = append(e.cache, p)
	}
	sum := int64(len(e.running)+1) * site.runMemory
	for _, c := range e.cache {
		sum += c.Tokens
	}
	for sum > site.memory && len(e.cache) > 0 {
		sum -= e.cache[0].Tokens
		e.cache = e.cache[1:]
	}
	return max(missing, 0)
}
