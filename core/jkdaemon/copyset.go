package jkdaemon

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jktoken"
)

// Values of the platform's record about the copies that a host incarnation
// wrote. The first writer of the record decides: the restarted host claims the copies,
// or a home abandons them.
const (
	copiesClaimed   = "kept"
	copiesAbandoned = "left"
)

// copyGraceLeases is how long the copies of an unreachable host are waited for before
// they are replaced, in lease durations: 10 s by default, which covers a restart of the
// daemon.
const copyGraceLeases = 2

// copySetKey returns the platform's key for the copies that an incarnation wrote.
func copySetKey(i jktoken.Incarnation) string {
	return "copyset/" + i.Host + "/" + strconv.FormatUint(i.Start, 36)
}

// copySetRecords reads and writes the platform's records about copies. A restarted host
// claims the copies on its disk; a home whose wait for an unreachable host has timed out
// abandons them.
type copySetRecords struct {
	daemon *Daemon

	mu sync.Mutex
	// abandonedCache caches the results of wasAbandoned; they are final once the former home
	// has an ended record.
	abandonedCache map[[2]jktoken.Incarnation]bool
	// self is the incarnation that writes the log now; former are the earlier ones whose
	// copies are not claimed yet.
	self   jktoken.Incarnation
	former []jktoken.Incarnation
}

func newCopySetRecords(d *Daemon) *copySetRecords {
	return &copySetRecords{daemon: d, abandonedCache: map[[2]jktoken.Incarnation]bool{}}
}

// createRecord creates the record of an incarnation unless it exists, and returns the
// value that the platform has.
func (c *copySetRecords) createRecord(ctx context.Context, i jktoken.Incarnation, value string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	p := c.daemon.platform
	_, err := p.Create(ctx, copySetKey(i), []byte(value))
	var exists *jkplatform.ExistsError
	var uncertain *jkplatform.UncertainError
	switch {
	case errors.As(err, &exists):
		return string(exists.Present.Value), nil
	case errors.As(err, &uncertain):
		r, err := p.Get(ctx, copySetKey(i))
		return string(r.Value), err
	}
	return value, err
}

// abandon gives up the copies of an unreachable host on behalf of this home. It reports
// whether they are given up and this home has not been declared ended.
func (c *copySetRecords) abandon(ctx context.Context, i jktoken.Incarnation) (bool, error) {
	if i.Start == 0 {
		return false, nil
	}
	value, err := c.createRecord(ctx, i, copiesAbandoned)
	if err != nil || value != copiesAbandoned {
		return false, err
	}
	// A successor reads the record after it has declared this home ended, so
	// this check must come after the write.
	ended, err := c.daemon.router.IsEnded(ctx, c.daemon.home.Self())
	return err == nil && !ended, err
}

// wasAbandoned reports whether the former home may have abandoned the copies on a host.
// The former home must already be declared ended.
func (c *copySetRecords) wasAbandoned(ctx context.Context, former, host jktoken.Incarnation) (bool, error) {
	key := [2]jktoken.Incarnation{former, host}
	c.mu.Lock()
	abandoned, known := c.abandonedCache[key]
	c.mu.Unlock()
	if known {
		return abandoned, nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	r, err := c.daemon.platform.Get(ctx, copySetKey(host))
	var missing *jkplatform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return false, err
	}
	abandoned = err == nil && string(r.Value) == copiesAbandoned
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.abandonedCache) > maxAbandonedCache {
		c.abandonedCache = map[[2]jktoken.Incarnation]bool{}
	}
	c.abandonedCache[key] = abandoned
	return abandoned, nil
}

// maxAbandonedCache bounds the entries of abandonedCache.
const maxAbandonedCache = 4096

// beginIncarnation makes self the incarnation that writes the history log, and loads the
// earlier ones whose copies are not claimed yet.
func (c *copySetRecords) beginIncarnation(self jktoken.Incarnation) error {
	if c.daemon.copies == nil {
		return nil
	}
	former, err := c.daemon.copies.BeginIncarnation(self)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.former = former
	c.self = self
	return err
}

// claimFormer claims the copies of the former incarnations. It is called periodically, so
// it is retried while the platform is unreachable.
func (c *copySetRecords) claimFormer(ctx context.Context) {
	c.mu.Lock()
	former, self := c.former, c.self
	c.mu.Unlock()
	if len(former) == 0 {
		return
	}
	kept := true
	for _, i := range former {
		value, err := c.createRecord(ctx, i, copiesClaimed)
		if err != nil {
			return
		}
		kept = kept && value == copiesClaimed
	}
	if err := c.daemon.copies.ResolveFormer(self, kept); err != nil {
		c.daemon.log.Part("copy").Error("copies of former incarnations can't be resolved", err)
		return
	}
	c.mu.Lock()
	c.former = nil
	c.mu.Unlock()
	c.daemon.log.Part("copy").Info("copies of former starts are resolved", "kept", kept, "programs", c.daemon.copies.Len())
}

// hostState returns a host's incarnation and whether it is up.
func (d *Daemon) hostState(name string) (jktoken.Incarnation, bool) {
	var i jktoken.Incarnation
	up := false
	d.gossip.WithTable(func(t *jkmember.Table) {
		h, status := t.Status(name)
		i = h.Incarnation
		up = status == jkmember.StatusUp
	})
	return i, up
}
