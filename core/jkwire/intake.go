package jkwire

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHelloFrame is the largest size of the first frame of an accepted connection, and helloTimeout the
	// time until it has arrived.
	maxHelloFrame = 4 << 10
	helloTimeout  = 5 * time.Second
	// maxServerConns is the largest number of connections of a server. One more closes one that isn't in use.
	maxServerConns = 2048
	// minHeldBytes is the least bound of what peers make a server hold: several of the largest frames.
	minHeldBytes = 4 * MaxFrame
	// streamBytes is what an open stream counts besides its body.
	streamBytes = 8 << 10
)

// errOverLimit is the cause if a server ends a connection to stay within its limits.
var errOverLimit = errors.New("the peers' frames exceed the limit")

// intake bounds the sum of what the peers of a server make it hold: frames that are being read, bodies of
// open streams, and answers that wait to be read. It is safe for concurrent use.
type intake struct {
	limit int64
	// steps numbers the reads and writes of all connections.
	steps atomic.Uint64
	// closed counts the connections that were ended.
	closed func()

	mu sync.Mutex
	// held is what open connections hold, and draining what ended ones still do.
	held, draining int64
	parts          map[*intakePart]bool
	// room is signalled when ended connections hold less.
	room    *sync.Cond
	stopped bool
}

// intakePart is the part of one connection. The methods of a nil part do nothing.
type intakePart struct {
	all *intake
	// read and written are the numbers of the latest read and write.
	read, written atomic.Uint64
	// end closes the connection and cancels its handlers.
	end func()

	// size and ended are guarded by the lock of all, as is unread, the size of answers that wait.
	size, unread int64
	ended        bool
}

func newIntake(limit int64, closed func()) *intake {
	i := &intake{limit: max(limit, minHeldBytes), closed: closed, parts: map[*intakePart]bool{}}
	i.room = sync.NewCond(&i.mu)
	return i
}

// stop ends all waits for room.
func (i *intake) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
	i.room.Broadcast()
}

func (i *intake) add(end func()) *intakePart {
	p := &intakePart{all: i, end: end}
	p.read.Store(i.steps.Add(1))
	return p
}

// liveShare is the part of the limit, in quarters, that open connections may hold. The rest is for ended
// ones whose handlers haven't returned.
const liveShare = 3

// grow makes room for what the connection is about to hold. Where the open connections would exceed their
// part of the limit, it ends the one with the largest product of what it holds and the steps since its
// progress. That may be this one. It waits for ended connections where these leave no room.
func (p *intakePart) grow(more int64) error {
	if p == nil {
		return nil
	}
	i := p.all
	i.mu.Lock()
	defer i.mu.Unlock()
	for !p.ended && !i.stopped && i.draining > 0 && i.held+i.draining+more > i.limit {
		i.room.Wait()
	}
	return p.change(more)
}

// release is grow for what the connection holds no more.
func (p *intakePart) release(less int64) {
	if p == nil {
		return
	}
	p.all.mu.Lock()
	defer p.all.mu.Unlock()
	_ = p.change(-less)
}

// growUnread is grow for an answer that the peer hasn't read. It doesn't wait, as handlers call it.
func (p *intakePart) growUnread(more int64) error {
	if p == nil {
		return nil
	}
	p.all.mu.Lock()
	defer p.all.mu.Unlock()
	p.unread += more
	return p.change(more)
}

// change changes what a connection holds. The caller holds the lock.
func (p *intakePart) change(more int64) error {
	i := p.all
	p.size += more
	if p.ended {
		i.draining += more
		i.room.Broadcast()
		return errOverLimit
	}
	i.held += more
	if p.size > 0 {
		i.parts[p] = true
	} else {
		delete(i.parts, p)
	}
	for i.held > i.limit*liveShare/4 {
		i.endStalled()
	}
	if p.ended {
		return errOverLimit
	}
	return nil
}

// endStalled ends the connection that holds most for longest without progress. The caller holds the lock.
func (i *intake) endStalled() {
	var worst *intakePart
	var worstScore float64
	now := i.steps.Add(1)
	for one := range i.parts {
		if score := float64(one.size) * float64(now-min(now, one.progress())); worst == nil || score > worstScore {
			worst, worstScore = one, score
		}
	}
	i.remove(worst)
	worst.end()
	i.closed()
}

// progress returns the number of the latest step. A peer that doesn't read its answers makes no progress
// by further requests.
func (p *intakePart) progress() uint64 {
	if p.unread > 0 {
		return p.written.Load()
	}
	return max(p.read.Load(), p.written.Load())
}

// remove takes a connection out of the sum. The caller holds the lock.
func (i *intake) remove(p *intakePart) {
	i.held -= p.size
	i.draining += p.size
	delete(i.parts, p)
	p.ended = true
	i.room.Broadcast()
}

// leave takes a connection out of the sum that has ended and holds nothing any more.
func (p *intakePart) leave() {
	i := p.all
	i.mu.Lock()
	defer i.mu.Unlock()
	if !p.ended {
		i.remove(p)
	}
	i.draining -= p.size
	p.size = 0
	i.room.Broadcast()
}

// reader returns a reader that records progress.
func (p *intakePart) reader(r io.Reader) io.Reader { return stepReader{Reader: r, part: p} }

func (p *intakePart) writer(w io.Writer) io.Writer { return stepWriter{Writer: w, part: p} }

type stepReader struct {
	io.Reader
	part *intakePart
}

func (r stepReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.part.read.Store(r.part.all.steps.Add(1))
	}
	return n, err
}

type stepWriter struct {
	io.Writer
	part *intakePart
}

func (w stepWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	if n > 0 {
		w.part.written.Store(w.part.all.steps.Add(1))
	}
	return n, err
}
