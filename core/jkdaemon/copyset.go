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
// wrote. The first writer of the record decides.
const (
	copiesKept = "kept"
	copiesLeft = "left"
)

// copyGraceLeases is the wait before copies of a silent host are replaced, in
// leases: 10 s by default, which covers a restart of the daemon.
const copyGraceLeases = 2

func copySetKey(i jktoken.Incarnation) string {
	return "copyset/" + i.Host + "/" + strconv.FormatUint(i.Start, 36)
}

// copySet keeps the platform's records about copies: a restarted host claims the
// copies on its disk as kept, a home that waited in vain gives them up.
type copySet struct {
	daemon *Daemon

	mu sync.Mutex
	// checked caches answers of hasLeft; they are final once the former home
	// has an ended record.
	checked map[[2]jktoken.Incarnation]bool
	// self writes the log now; former are those before it that are not resolved.
	self   jktoken.Incarnation
	former []jktoken.Incarnation
}

func newCopySet(d *Daemon) *copySet {
	return &copySet{daemon: d, checked: map[[2]jktoken.Incarnation]bool{}}
}

// write creates the record of an incarnation and returns what it says.
func (c *copySet) write(ctx context.Context, i jktoken.Incarnation, value string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
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

// leave gives up the copies of a silent host for this home.
func (c *copySet) leave(ctx context.Context, i jktoken.Incarnation) (bool, error) {
	if i.Start == 0 {
		return false, nil
	}
	value, err := c.write(ctx, i, copiesLeft)
	if err != nil || value != copiesLeft {
		return false, err
	}
	// A successor of this home reads the record after it has declared this
	// home ended, so this check must come after the write.
	ended, err := c.daemon.router.IsEnded(ctx, c.daemon.home.Self())
	return err == nil && !ended, err
}

// hasLeft reports whether the former home may have given up a copy's host. The
// former home is already declared ended.
func (c *copySet) hasLeft(ctx context.Context, former, host jktoken.Incarnation) (bool, error) {
	key := [2]jktoken.Incarnation{former, host}
	c.mu.Lock()
	left, known := c.checked[key]
	c.mu.Unlock()
	if known {
		return left, nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	r, err := c.daemon.platform.Get(ctx, copySetKey(host))
	var missing *jkplatform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return false, err
	}
	left = err == nil && string(r.Value) == copiesLeft
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.checked) > maxChecked {
		c.checked = map[[2]jktoken.Incarnation]bool{}
	}
	c.checked[key] = left
	return left, nil
}

// maxChecked bounds the cached answers.
const maxChecked = 4096

// begin notes who writes the log from now on and reads who did before.
func (c *copySet) begin(self jktoken.Incarnation) error {
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

// resolve claims the copies of the former incarnations as kept. It is tried
// again while the platform can't be reached.
func (c *copySet) resolve(ctx context.Context) {
	c.mu.Lock()
	former, self := c.former, c.self
	c.mu.Unlock()
	if len(former) == 0 {
		return
	}
	kept := true
	for _, i := range former {
		value, err := c.write(ctx, i, copiesKept)
		if err != nil {
			return
		}
		kept = kept && value == copiesKept
	}
	if err := c.daemon.copies.ResolveFormer(self, kept); err != nil {
		c.daemon.log.Part("copy").Error("copies can't be resolved", err)
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
