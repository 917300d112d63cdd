// Package jkintake bounds what callers can make a process hold: the bodies of their requests, the heads
// that are being read, and their connections.
package jkintake

import (
	"errors"
	"io"
	"sync"
	"time"

	"jasmineknot.example/core/jktimer"
)

const (
	// defaultReadBodies and defaultHeldBodies are the limits if none are set.
	defaultReadBodies = 32 << 20
	defaultHeldBodies = 64 << 20
	// wholeBodyBytes is the size up to which the buffer of a body of known length has its whole length
	// at once. Others grow as the bytes arrive, since callers may announce more than they send.
	wholeBodyBytes = 64 << 10
	// firstBodyBytes is the first size of the buffer of other bodies.
	firstBodyBytes = 4 << 10
)

// BodyEnd is the reason for which this host ends a request because of what it holds for it.
type BodyEnd string

// Reasons for which this host ends a request: the sum of what is held is over its limit, no bytes of the
// body arrive, or the time limit of the request has ended before its body.
const (
	BodyOverShare BodyEnd = "bodies_full"
	BodyStalled   BodyEnd = "body_stalled"
	BodyLate      BodyEnd = "body_late"
)

// BodyEndedError is returned for a request that this host has ended.
type BodyEndedError struct{ Reason BodyEnd }

func (e *BodyEndedError) Error() string { return "request ended by this host: " + string(e.Reason) }

// bodyState is what happens to a request.
type bodyState string

// States of a request. One that is sent is never ended: its caller couldn't be told whether it ran. One that is
// answered has a whole answer which is about to be written.
const (
	bodyReading   bodyState = "reading"
	bodyWaiting   bodyState = "waiting"
	bodySent      bodyState = "sent"
	bodyAnswered  bodyState = "answered"
	bodyAnswering bodyState = "answering"
)

// Bodies bounds what is held of callers' requests: their bodies until they aren't needed any more, and
// whole answers from their first byte until they are written. It is safe for concurrent use.
type Bodies struct {
	limits Limits
	timer  *jktimer.Service

	mu sync.Mutex
	// read and held are what counts towards the limits, and ending is the part of held of the requests that this
	// host has ended and whose goroutines haven't returned yet.
	read, held, ending int64
	// all has the requests that this host hasn't ended.
	all map[*Body]bool
	// released is closed once there may be more room; nil while nobody waits for it.
	released chan struct{}
	// checks is set once the checks have begun, which is with the first body.
	checks bool
}

// Body is what is held of one request.
type Body struct {
	all   *Bodies
	state bodyState
	// size is the size of its buffers.
	size int64
	// progressedAt is when the latest bytes came or went, and checks the number of checks since then.
	progressedAt time.Time
	checks       int
	// deadline is the time at which the request's time limit ends.
	deadline time.Time
	// ended is set once this host has ended the request, and over once it doesn't count any more.
	ended BodyEnd
	over  bool
	// waited is how long the answer has waited for room.
	waited time.Duration
	// interrupt ends what the request waits for; nil if it waits for nothing that may take long.
	interrupt func()
}

// NewBodies returns a bound.
func NewBodies(limits Limits, timer *jktimer.Service) *Bodies {
	if limits.Read <= 0 {
		limits.Read = defaultReadBodies
	}
	if limits.Held <= 0 {
		limits.Held = defaultHeldBodies
	}
	return &Bodies{limits: limits, timer: timer, all: map[*Body]bool{}}
}

// Held returns the number of bytes that are held.
func (b *Bodies) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Begin starts the read of a body. The caller calls End once the request is over.
func (b *Bodies) Begin(deadline time.Time, interrupt func()) *Body {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.checks {
		b.checks = true
		b.timer.Every(checkInterval, b.check)
	}
	one := &Body{all: b, state: bodyReading, progressedAt: b.timer.Now(), deadline: deadline, interrupt: interrupt}
	b.all[one] = true
	return one
}

// End ends the count of a request, of which nothing may be in use any more. It returns an error if this host
// ended it before.
func (c *Body) End() error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.all.remove(c)
	return c.err()
}

// Err returns an error if this host has ended the request.
func (c *Body) Err() error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.err()
}

func (c *Body) err() error {
	if c.ended != "" {
		return &BodyEndedError{Reason: c.ended}
	}
	return nil
}

// Wait records that a request isn't sent and that nobody runs it, so that it may be ended.
func (c *Body) Wait() { _ = c.enter(bodyWaiting, nil) }

// Interrupt sets what ends the wait of a request; nil if it doesn't wait any more.
func (c *Body) Interrupt(interrupt func()) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.interrupt = interrupt
	return c.err()
}

// Send records that the request is sent, if this host hasn't ended it.
func (c *Body) Send() error { return c.enter(bodySent, nil) }

// Answered records that the whole answer was read and is about to be written.
func (c *Body) Answered() error { return c.enter(bodyAnswered, nil) }

func (c *Body) enter(state bodyState, interrupt func()) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.ended != "" {
		return c.err()
	}
	if c.state == bodyReading {
		c.all.read -= c.size
	}
	c.state, c.interrupt, c.progressedAt = state, interrupt, c.all.timer.Now()
	c.all.wake()
	return nil
}

// Answer replaces all that was counted by a whole answer that is being written, which has room by itself. The
// interrupt ends the write.
func (c *Body) Answer(size int64, interrupt func()) error {
	if err := c.enter(bodyAnswering, interrupt); err != nil {
		return err
	}
	return c.grow(size-c.size, size)
}

// Progress records that bytes came or went.
func (c *Body) Progress() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.progressedAt, c.checks = c.all.timer.Now(), 0
}

// check ends the reads of bodies without progress and of those whose requests have no time left.
func (b *Bodies) check() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	for c := range b.all {
		if c.state != bodyReading {
			continue
		}
		c.checks++
		switch {
		case now.After(c.deadline):
			b.stop(c, BodyLate)
		case c.checks > maxChecks:
			b.stop(c, BodyStalled)
		}
	}
}

// ReadAll reads a body of the given length, or up to its end if the length isn't positive. Then the request
// waits.
func (c *Body) ReadAll(r io.Reader, length, limit int64) (body []byte, err error) {
	defer func() {
		if err == nil {
			err = c.enter(bodyWaiting, nil)
		}
		if err != nil {
			body = nil
			if ended := c.End(); ended != nil {
				err = ended
			}
		}
	}()
	// One byte more than the limit, so that the last read finds the end.
	most, size := limit+1, int64(firstBodyBytes)
	if length > 0 {
		most, size = length, wholeBodyBytes
	}
	size = min(size, most)
	// Two buffers exist while one is copied into a larger one.
	least := 2 * (limit + 1)
	if err := c.Grow(size, least); err != nil {
		return nil, err
	}
	body = make([]byte, 0, size)
	for {
		if len(body) == cap(body) && int64(len(body)) != length {
			if body, err = c.enlarge(body, most, least); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 {
			c.Progress()
		}
		switch {
		case err == nil && int64(len(body)) != length:
		case err == nil || errors.Is(err, io.EOF) && (length <= 0 || int64(len(body)) == length):
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// enlarge returns a body in a buffer of twice the size, or of the given one if that is less.
func (c *Body) enlarge(body []byte, most, least int64) ([]byte, error) {
	size := min(2*int64(cap(body)), most)
	if err := c.Grow(size, least); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, size), body...)
	return larger, c.grow(-int64(cap(body)), least)
}
