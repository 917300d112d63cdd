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

// callTimeout bounds one call to the platform. The platform normally answers within
// milliseconds, but may be slow for long periods; with a shorter timeout each slow
// write would have an unknown outcome.
const callTimeout = 5 * time.Second

// reader finds and reads revisions stored at the platform.
type reader struct {
	client *jkplatform.Client
	timer  *jktimer.Service
}

// withTimeout returns a context that ends after d, as measured by the timer service,
// and the function that releases it.
func withTimeout(ctx context.Context, timer *jktimer.Service, d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := timer.After(d, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (r *reader) readRecord(ctx context.Context, revision uint64) (jkplatform.Record, error) {
	ctx, done := withTimeout(ctx, r.timer, callTimeout)
	defer done()
	return r.client.Get(ctx, revisionKey(revision))
}

// blockStarted reports whether a block has its second revision. It doesn't read the first
// one, which holds the whole document and is much larger.
func (r *reader) blockStarted(ctx context.Context, block uint64) (bool, error) {
	_, err := r.readRecord(ctx, block*blockSize+1)
	var notFound *jkplatform.NotFoundError
	if errors.As(err, &notFound) {
		return false, nil
	}
	return err == nil, err
}

// lastBlock returns the newest block for which blockStarted is true, or 0, by exponential
// and then binary search. The search works because revisions have no gaps; a record of the
// newest revision would cost a second write for each edit.
func (r *reader) lastBlock(ctx context.Context) (uint64, error) {
	low, step := uint64(0), uint64(1)
	for {
		ok, err := r.blockStarted(ctx, low+step)
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
		ok, err := r.blockStarted(ctx, low+step)
		if err != nil {
			return 0, err
		}
		if ok {
			low += step
		}
	}
	return low, nil
}

// readBlock returns the changes of a block ordered by revision.
func (r *reader) readBlock(ctx context.Context, block uint64) ([]Change, error) {
	ctx, done := withTimeout(ctx, r.timer, 2*callTimeout)
	defer done()
	records, err := r.client.List(ctx, blockKeyPrefix(block))
	if err != nil {
		return nil, err
	}
	return decodeChanges(records)
}

// decodeChanges returns the changes of records ordered by revision.
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

// readNewest reads the newest document and the changes of its block.
func (r *reader) readNewest(ctx context.Context) (*Document, []Change, error) {
	block, err := r.lastBlock(ctx)
	if err != nil {
		return nil, nil, err
	}
	d := Empty()
	for {
		changes, err := r.readBlock(ctx, block)
		if err != nil {
			return nil, nil, err
		}
		if d, err = advanceAll(d, changes); err != nil {
			return nil, nil, err
		}
		// If the block is complete, the next one may have its first revision,
		// which the search doesn't see, or may have been started since.
		if d.revision != block*blockSize+blockSize-1 {
			return d, changes, nil
		}
		if _, err := r.readRecord(ctx, d.revision+1); err != nil {
			var notFound *jkplatform.NotFoundError
			if errors.As(err, &notFound) {
				return d, changes, nil
			}
			return nil, nil, err
		}
		block++
	}
}

// readDocument reads the document of a revision.
func (r *reader) readDocument(ctx context.Context, revision uint64) (*Document, error) {
	changes, err := r.readBlock(ctx, revision/blockSize)
	if err != nil {
		return nil, err
	}
	last := sort.Search(len(changes), func(i int) bool { return changes[i].Revision > revision })
	d, err := advanceAll(Empty(), changes[:last])
	if err != nil {
		return nil, err
	}
	if d.revision != revision {
		return nil, &jkplatform.NotFoundError{Key: revisionKey(revision)}
	}
	return d, nil
}

// readChanges reads the changes of all revisions above after, up to and including until.
func (r *reader) readChanges(ctx context.Context, after, until uint64) ([]Change, error) {
	var found []Change
	for block := (after + 1) / blockSize; block <= until/blockSize; block++ {
		changes, err := r.readBlock(ctx, block)
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

// advanceAll applies changes in order.
func advanceAll(d *Document, changes []Change) (*Document, error) {
	var err error
	for _, c := range changes {
		if d, err = d.advance(c); err != nil {
			return nil, eris.Wrapf(err, "read revision %d", c.Revision)
		}
	}
	return d, nil
}
