package jkconfig

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jktimer"
)

// callTimeout bounds one call to the platform. It normally answers within
// milliseconds, but may be slow for long periods; a shorter limit would turn
// each slow write into one of unknown outcome.
const callTimeout = 5 * time.Second

// reader finds and reads revisions at the platform.
type reader struct {
	client *jkplatform.Client
	timer  *jktimer.Service
}

// within returns a context that ends after d by the timer service.
func within(ctx context.Context, timer *jktimer.Service, d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := timer.After(d, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (r *reader) get(ctx context.Context, revision uint64) (jkplatform.Record, error) {
	ctx, done := within(ctx, r.timer, callTimeout)
	defer done()
	return r.client.Get(ctx, key(revision))
}

// exists reports whether a block has been started. It reads the block's second
// revision, because the first one holds the whole document.
func (r *reader) exists(ctx context.Context, block uint64) (bool, error) {
	_, err := r.get(ctx, block*blockSize+1)
	var notFound *jkplatform.NotFoundError
	if errors.As(err, &notFound) {
		return false, nil
	}
	return err == nil, err
}

// lastBlock returns the newest started block, by doubling steps and then
// halving them. Revisions have no gaps, so this needs no record of the newest
// one, which would be a second write for each edit.
func (r *reader) lastBlock(ctx context.Context) (uint64, error) {
	low, step := uint64(0), uint64(1)
	for {
		ok, err := r.exists(ctx, low+step)
		if err != nil {
			return 0, err
		}
		if !ok {
			break
		}
		low += step
		step *= 2
	}
	for step > 1 {
		step /= 2
		ok, err := r.exists(ctx, low+step)
		if err != nil {
			return 0, err
		}
		if ok {
			low += step
		}
	}
	return low, nil
}

// block returns the changes of a block in order.
func (r *reader) block(ctx context.Context, block uint64) ([]Change, error) {
	ctx, done := within(ctx, r.timer, 2*callTimeout)
	defer done()
	records, err := r.client.List(ctx, blockKey(block))
	if err != nil {
		return nil, err
	}
	return decodeChanges(records)
}

func decodeChanges(records []jkplatform.Record) ([]Change, error) {
	changes := make([]Change, 0, len(records))
	for _, record := range records {
		c, err := decodeChange(record)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	return changes, nil
}

// newest reads the newest document and the changes of its block.
func (r *reader) newest(ctx context.Context) (*Document, []Change, error) {
	block, err := r.lastBlock(ctx)
	if err != nil {
		return nil, nil, err
	}
	d := Empty()
	for {
		changes, err := r.block(ctx, block)
		if err != nil {
			return nil, nil, err
		}
		if d, err = advanceAll(d, changes); err != nil {
			return nil, nil, err
		}
		// A block that has become complete since the search may have a
		// successor.
		if d.revision != block*blockSize+blockSize-1 {
			return d, changes, nil
		}
		if _, err := r.get(ctx, d.revision+1); err != nil {
			var notFound *jkplatform.NotFoundError
			if errors.As(err, &notFound) {
				return d, changes, nil
			}
			return nil, nil, err
		}
		block++
	}
}

// at reads the document as it was at a revision.
func (r *reader) at(ctx context.Context, revision uint64) (*Document, error) {
	changes, err := r.block(ctx, revision/blockSize)
	if err != nil {
		return nil, err
	}
	last := sort.Search(len(changes), func(i int) bool { return changes[i].Revision > revision })
	d, err := advanceAll(Empty(), changes[:last])
	if err != nil {
		return nil, err
	}
	if d.revision != revision {
		return nil, &jkplatform.NotFoundError{Key: key(revision)}
	}
	return d, nil
}

// between reads the changes after one revision up to another one.
func (r *reader) between(ctx context.Context, after, until uint64) ([]Change, error) {
	var found []Change
	for block := (after + 1) / blockSize; block <= until/blockSize; block++ {
		changes, err := r.block(ctx, block)
		if err != nil {
			return nil, err
		}
		for _, c := range changes {
			if c.Revision > after && c.Revision <= until {
				found = append(found, c)
			}
		}
	}
	return found, nil
}

func advanceAll(d *Document, changes []Change) (*Document, error) {
	var err error
	for _, c := range changes {
		if d, err = d.advance(c); err != nil {
			return nil, eris.Wrapf(err, "read revision %d", c.Revision)
		}
	}
	return d, nil
}
