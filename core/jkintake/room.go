package jkintake

import (
	"context"
	"time"
)

const (
	// smallGrowthBytes is the size up to which the growth of a buffer doesn't wait.
	smallGrowthBytes = 64 << 10
	// takenTime is the time in which a caller that takes an answer takes a part of it, takenWait how long an answer
	// waits for those that are taken, and roomWait how long it waits for any room.
	takenTime = 100 * time.Millisecond
	takenWait = 300 * time.Millisecond
	roomWait  = time.Second
)

// remove ends the count of a request. The caller holds the lock.
func (b *Bodies) remove(c *Body) {
	if c.over {
		return
	}
	c.over = true
	b.held -= c.size
	if c.ended != "" {
		b.ending -= c.size
	} else {
		b.leave(c)
	}
	b.wake()
}

// leave takes a request out of those that may be ended. The caller holds the lock.
func (b *Bodies) leave(c *Body) {
	if c.state == bodyReading {
		b.read -= c.size
	}
	delete(b.all, c)
}

// stop ends a request, which counts until its goroutine has returned. The caller holds the lock.
func (b *Bodies) stop(c *Body, reason BodyEnd) {
	b.leave(c)
	b.ending += c.size
	c.ended = reason
	if c.interrupt != nil {
		c.interrupt()
	}
	b.wake()
}

// wake lets those that wait for room look again. The caller holds the lock.
func (b *Bodies) wake() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Grow makes room for a larger buffer of a caller's body. A large one waits while requests that this host has ended
// are still in memory.
func (c *Body) Grow(more, least int64) error {
	b := c.all
	began := b.timer.Now()
	err := c.grow(more, least)
	for err == nil && more > smallGrowthBytes && b.timer.Now().Sub(began) < roomWait {
		ended := c.awaitEnded(least)
		if ended == nil {
			break
		}
		_ = b.wait(context.Background(), ended)
		c.Progress()
		err = c.Err()
	}
	return err
}

// awaitEnded returns what is closed once there may be more room, or nil if there is room or no request that this
// host has ended is in memory.
func (c *Body) awaitEnded(least int64) <-chan struct{} {
	b := c.all
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ending == 0 || b.held <= max(b.limits.Held, least) {
		return nil
	}
	return b.awaitRelease()
}

// GrowAnswer counts a growth of the buffers of an answer that is being read. A large one waits for room: for what is
// about to be released, and for a while also for answers that callers take. Then, and where callers take nothing, it
// ends the oldest.
func (c *Body) GrowAnswer(ctx context.Context, more, least int64) error {
	b := c.all
	began := b.timer.Now().Add(-c.waited)
	for {
		released := c.growAnswer(more, max(b.limits.Held, least), b.timer.Now().Sub(began))
		if released == nil {
			c.waited = b.timer.Now().Sub(began)
			return nil
		}
		if err := b.wait(ctx, released); err != nil {
			return err
		}
	}
}

// wait waits until there may be more room, or until it is time to look again.
func (b *Bodies) wait(ctx context.Context, released <-chan struct{}) error {
	stop := b.timer.After(takenTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.wake()
	})
	defer stop()
	select {
	case <-released:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// growAnswer counts a growth of the buffers of an answer that has waited for a time, or returns what is closed once
// there may be room for it.
func (c *Body) growAnswer(more, limit int64, waited time.Duration) <-chan struct{} {
	b := c.all
	b.mu.Lock()
	defer b.mu.Unlock()
	if more > smallGrowthBytes && b.held+more > limit {
		now := b.timer.Now()
		isPatient := waited < takenWait
		mayStop := func(one *Body) bool {
			return one.mayEnd() && (!isPatient || one.state != bodyAnswering || now.Sub(one.progressedAt) >= takenTime)
		}
		b.makeRoom(limit, more, mayStop)
		if waited < roomWait && b.isReleasing(limit, isPatient) {
			return b.awaitRelease()
		}
	}
	c.size += more
	b.held += more
	if more < 0 {
		b.wake()
	}
	return nil
}

// awaitRelease returns what is closed once there may be more room. The caller holds the lock.
func (b *Bodies) awaitRelease() <-chan struct{} {
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// isReleasing reports whether requests release room soon: those that were ended, those whose answers are about to be
// written, and, to one who is patient, those that are being written. None of them waits for room. The caller holds
// the lock.
func (b *Bodies) isReleasing(limit int64, isPatient bool) bool {
	if b.ending > 0 {
		return true
	}
	for one := range b.all {
		if one.state == bodyAnswered && one.size > smallGrowthBytes || isPatient && one.state == bodyAnswering && b.isOverShare(one, limit) {
			return true
		}
	}
	return false
}

// grow makes room for a larger buffer. Where a sum would exceed its limit, or the given least one, it ends
// the request that has had no progress for longest among those with more than their share: the limit
// divided by the number of requests. That may be this one.
func (c *Body) grow(more, least int64) error {
	b := c.all
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.ended != "" {
		return c.err()
	}
	c.size += more
	b.held += more
	if c.state == bodyReading {
		b.read += more
	}
	if more < 0 {
		b.wake()
	}
	limit := max(b.limits.Read, least)
	for more := true; more && b.read > limit; {
		more = b.stopOldest(limit, func(one *Body) bool { return one.state == bodyReading })
	}
	b.makeRoom(max(b.limits.Held, least), 0, (*Body).mayEnd)
	return c.err()
}

// makeRoom ends the oldest requests that may be ended until there is room for a growth once they have returned. The
// caller holds the lock.
func (b *Bodies) makeRoom(limit, more int64, may func(*Body) bool) {
	for found := true; found && b.held-b.ending+more > limit; {
		found = b.stopOldest(limit, may)
	}
}

// stopOldest ends the request with more than its share of a limit that has had no progress for longest. It
// reports false if there is none. The caller holds the lock.
func (b *Bodies) stopOldest(limit int64, may func(*Body) bool) bool {
	var oldest *Body
	for one := range b.all {
		if may(one) && b.isOverShare(one, limit) && (oldest == nil || one.progressedAt.Before(oldest.progressedAt)) {
			oldest = one
		}
	}
	if oldest == nil {
		return false
	}
	b.stop(oldest, BodyOverShare)
	return true
}

// isOverShare reports whether a request holds more than its share of a limit. The caller holds the lock.
func (b *Bodies) isOverShare(one *Body, limit int64) bool {
	return one.size*int64(len(b.all)) > limit
}

// mayEnd reports whether this host may end a request.
func (c *Body) mayEnd() bool { return c.state != bodySent && c.state != bodyAnswered }
