package jksched

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// available reports whether the breaker and the network let a call through.
func (d *Direct) available(now time.Time, row *directRow) bool {
	if d.zonesDown[row.endpoint.Zone] {
		return false
	}
	if row.faults < d.opt.BreakerFaults {
		return true
	}
	return !now.Before(row.openUntil) && !row.probing
}

// occupied estimates the calls at the endpoint, waiting ones included. What other
// hosts have there is reported; as the report ages it fades into the mean of the
// service, since an endpoint that isn't heard of is hardly idle.
func (d *Direct) occupied(now time.Time, row *directRow) int {
	others := d.others[row.endpoint.Service]
	if age := now.Sub(row.loadAt); !row.loadAt.IsZero() && age < d.opt.LoadAge {
		fresh := 1 - float64(age)/float64(d.opt.LoadAge)
		others += (reportedOthers(row) - others) * fresh
	}
	return row.own + int(others+0.5)
}

func reportedOthers(row *directRow) float64 {
	return float64(max(row.load.Running+row.load.Waiting-row.ownAtLoad, 0))
}

// updateOthers computes the mean number of calls of other hosts on the endpoints
// of a service that have reported lately.
func (d *Direct) updateOthers(now time.Time, service string) {
	sum, n := 0.0, 0
	for _, row := range d.services[service] {
		if !row.loadAt.IsZero() && now.Sub(row.loadAt) < d.opt.LoadAge {
			// An endpoint that is full says little about the others.
			sum += min(reportedOthers(row), float64(d.slots(row)))
			n++
		}
	}
	if n == 0 {
		delete(d.others, service)
		return
	}
	d.others[service] = sum / float64(n)
}

// busyShare is the share of a service's slots that other hosts use, at most 1.
func (d *Direct) busyShare(service string) float64 {
	rows := d.services[service]
	if len(rows) == 0 {
		return 0
	}
	return min(d.others[service]/float64(d.slots(rows[0])), 1)
}

// IsCrowded reports whether the endpoint has more calls than slots.
func (d *Direct) IsCrowded(now time.Time, id string) bool {
	row, ok := d.endpoints[id]
	return ok && d.occupied(now, row) > d.slots(row)
}

func (d *Direct) slots(row *directRow) int {
	if row.load.Slots > 0 {
		return row.load.Slots
	}
	return max(row.endpoint.Slots, 1)
}

// pace is the predicted time of work on the endpoint relative to the options'.
// What was seen or reported last fades into the usual, since neighbours come and
// go within a second.
func (d *Direct) pace(now time.Time, row *directRow) float64 {
	usual := row.usual
	if usual == 0 {
		usual = 1
	}
	pace, at := row.current, row.currentAt
	if row.load.Pace > 0 && row.loadAt.After(at) {
		pace, at = usual*row.load.Pace, row.loadAt
	}
	if pace == 0 {
		return usual
	}
	fresh := max(0, 1-float64(now.Sub(at))/float64(d.opt.PaceAge))
	return usual + (pace-usual)*fresh
}

// Weights of one observation in the smoothed paces.
const (
	usualWeight   = 0.02
	currentWeight = 0.4
)

// Progress takes the time that a running call of an engine needed for some
// tokens.
func (d *Direct) Progress(now time.Time, id string, tokens int64, took time.Duration) {
	row, ok := d.endpoints[id]
	if !ok || tokens <= 0 || took <= 0 {
		return
	}
	running := min(d.occupied(now, row), d.slots(row))
	expected := time.Duration(tokens) * (d.opt.TokenPace + time.Duration(running)*d.opt.TokenPacePerCall)
	// A gap far beyond the usual is a preemption or a lost connection.
	ratio := min(float64(took)/float64(expected), maxPace)
	if row.usual == 0 {
		row.usual = 1
	}
	row.usual += (ratio - row.usual) * usualWeight
	if row.current == 0 || now.Sub(row.currentAt) > d.opt.PaceAge {
		row.current = row.usual
	}
	row.current += (ratio - row.current) * currentWeight
	row.currentAt = now
}

// maxPace bounds one observation of an endpoint's pace.
const maxPace = 6

// work is the time that the call runs on the endpoint once it has a slot.
func (d *Direct) work(now time.Time, c Call, row *directRow) time.Duration {
	if c.Kind == KindService {
		return time.Duration(float64(d.serviceTime(row)) * d.pace(now, row))
	}
	running := min(d.occupied(now, row), d.slots(row))
	output := c.MaxTokens
	if output <= 0 {
		output = d.opt.OutputTokens
	}
	token := d.opt.TokenPace + time.Duration(running)*d.opt.TokenPacePerCall
	work := time.Duration(output)*token + time.Duration(d.uncached(c, row))*d.opt.PrefillPace
	return time.Duration(float64(work) * d.pace(now, row))
}

func (d *Direct) serviceTime(row *directRow) time.Duration {
	if row.service > 0 {
		return row.service
	}
	return d.opt.ServiceTime
}

// wait is the predicted time until a slot is free.
func (d *Direct) wait(now time.Time, c Call, row *directRow) time.Duration {
	over := d.occupied(now, row) - d.slots(row) + 1
	if over <= 0 {
		return 0
	}
	return d.work(now, c, row) * time.Duration(over) / time.Duration(d.slots(row))
}

// overflow returns the time until the endpoint's queue is short enough, or 0.
func (d *Direct) overflow(now time.Time, row *directRow) time.Duration {
	slots := d.slots(row)
	over := d.occupied(now, row) - int(float64(slots)*(1+d.opt.QueuePerSlot))
	if over < 0 {
		return 0
	}
	mean := d.serviceTime(row)
	if row.endpoint.Kind == KindModel {
		mean = time.Duration(d.opt.OutputTokens) * d.opt.TokenPace
	}
	return mean * time.Duration(over+slots) / time.Duration(slots)
}

// cost predicts the latency of the call, plus the time that its prefill takes
// from the calls running there.
func (d *Direct) cost(now time.Time, c Call, row *directRow) time.Duration {
	cost := d.wait(now, c, row) + d.work(now, c, row)
	occupied := d.occupied(now, row)
	if c.Kind == KindModel {
		cost += time.Duration(d.uncached(c, row)) * d.opt.PrefillPace * time.Duration(occupied)
		// Each running call is slowed by this one's tokens.
		cost += time.Duration(c.MaxTokens) * d.opt.TokenPacePerCall * time.Duration(occupied)
	} else {
		// Among endpoints with free slots the one with the most is taken, since
		// other hosts choose at the same time.
		cost += d.serviceTime(row) * time.Duration(occupied) / time.Duration(4*d.slots(row))
	}
	if d.opt.Delay != nil {
		cost += 2 * d.opt.Delay(d.opt.Zone, row.endpoint.Zone)
	}
	if c.Kind == KindModel && row.endpoint.Zone != d.opt.Zone {
		cost += d.opt.CrossZone
	}
	if row.faults > 0 {
		cost += time.Duration(row.faults) * 50 * time.Millisecond
	}
	return cost + d.spread(c, row)
}

// minSpread orders endpoints that are alike. spreadShare is the spread on full
// endpoints, as a share of a call's usual time; TestCrestOfGrownFleet replays the
// load that it is for.
const (
	minSpread   = 2 * time.Millisecond
	spreadShare = 1.0
)

// spread is a share of the call's time that depends on its key and the endpoint.
// Hosts learn of each other's choices late, so that all of them would take the
// endpoint that was the least loaded; the busier the endpoints are, the further
// their choices are spread. Calls of one session keep the same preference on all
// hosts.
func (d *Direct) spread(c Call, row *directRow) time.Duration {
	usual := d.opt.ServiceTime
	if c.Kind == KindModel {
		usual = time.Duration(d.opt.OutputTokens) * d.opt.TokenPace
	}
	span := minSpread + time.Duration(float64(usual)*d.busy*spreadShare)
	return time.Duration(float64(pairHash(d.key, row.key)) / math.MaxUint64 * float64(span))
}

// uncached estimates the prompt tokens that the endpoint has to read. Parts
// count as cached only while all parts before them are.
func (d *Direct) uncached(c Call, row *directRow) int64 {
	left := c.PromptTokens
	for i, part := range c.Prefix {
		// A part that many requests share is where other hosts send it as well.
		expected := false
		switch {
		case i == 0 && len(c.Prefix) > 1:
			expected = slices.Contains(d.homesOf(c.Service, part.Hash), row)
		case i == len(c.Prefix)-1 && len(d.parts[part.Hash]) == 0:
			expected = row == d.favorite
		}
		if !expected && !slices.Contains(d.parts[part.Hash], row) {
			break
		}
		left -= part.Tokens
	}
	return max(left, 0)
}

// Numbers of endpoints on which a shared part is expected: a share of the service's
// endpoints, as memory doesn't hold all parts on all of them. More are used the
// busier they are, since reading a part again takes less time than a long queue.
const (
	minHomes      = 3
	idleHomeShare = 0.25
	fullHomeShare = 0.5
)

// maxHomeParts bounds the shared parts whose endpoints are remembered.
const maxHomeParts = 512

// homesOf returns the endpoints on which all hosts expect a shared part.
func (d *Direct) homesOf(service, part string) []*directRow {
	homes, known := d.homes[part]
	if !known {
		if len(d.homes) >= maxHomeParts {
			clear(d.homes)
		}
		homes = d.rankHomes(service, part)
		d.homes[part] = homes
	}
	share := idleHomeShare + (fullHomeShare-idleHomeShare)*d.busy
	return homes[:min(len(homes), max(minHomes, int(float64(len(homes))*share)))]
}

// chooseFavorite returns the endpoint that all hosts expect a program's own prompt
// part on, unless they know better: the first of the homes of its shared part by a
// hash of the program.
func (d *Direct) chooseFavorite(c Call) *directRow {
	if c.Kind != KindModel || len(c.Prefix) < 2 {
		return nil
	}
	var favorite *directRow
	for _, home := range d.homesOf(c.Service, c.Prefix[0].Hash) {
		if favorite == nil || pairHash(d.key, home.key) < pairHash(d.key, favorite.key) {
			favorite = home
		}
	}
	return favorite
}

// pairHash ranks an endpoint for a key, alike on all hosts.
func pairHash(key, endpoint uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], endpoint)
	return xxhash.Sum64(b[:])
}

// rankHomes ranks the live endpoints of a service by rendezvous hash.
func (d *Direct) rankHomes(service, part string) []*directRow {
	var out []*directRow
	for _, row := range d.services[service] {
		if row.endpoint.State == StateLive {
			out = append(out, row)
		}
	}
	key := xxhash.Sum64String(part)
	slices.SortFunc(out, func(a, b *directRow) int { return cmp.Compare(pairHash(key, a.key), pairHash(key, b.key)) })
	return out
}

// maxHolders bounds the endpoints remembered for one prompt part.
const maxHolders = 16

func (d *Direct) remember(c Call, row *directRow) {
	for _, part := range c.Prefix {
		d.addHolder(part.Hash, row)
	}
}

// HearPart takes an endpoint at which another host has placed a call with a prompt
// part.
func (d *Direct) HearPart(id, part string) {
	if row, ok := d.endpoints[id]; ok {
		d.addHolder(part, row)
	}
}

func (d *Direct) addHolder(part string, row *directRow) {
	holders, known := d.parts[part]
	if slices.Contains(holders, row) {
		return
	}
	if !known {
		d.partOrder = append(d.partOrder, part)
	}
	if len(holders) >= maxHolders {
		holders = holders[1:]
	}
	d.parts[part] = append(holders, row)
	for len(d.partOrder) > d.opt.MaxParts {
		delete(d.parts, d.partOrder[0])
		d.partOrder = d.partOrder[1:]
	}
}
