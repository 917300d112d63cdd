// Package jkpath measures the latency and throughput that the path through a site
// costs, compared with direct calls of the same engine. It starts neither the site nor
// the engine.
package jkpath

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasmineknot.example/core/jktimer"
)

// Options are the parameters of a measurement.
type Options struct {
	Entry        string        // base URL of a daemon
	Engine       string        // base URL of the stand-in engine behind it
	Calls        int           // pairs of calls, one direct and one through the site
	Warmup       int           // pairs before the measured ones
	Concurrency  int           // callers while requests/s are measured
	Duration     time.Duration // length of each measurement of requests/s; 0 skips both
	PromptTokens int
	AnswerTokens int
	Model        string
	Workspace    string
	Timeout      time.Duration // limit of one call
}

// DefaultOptions returns options for a measurement of about twenty seconds. Entry and
// Engine are empty.
func DefaultOptions() Options {
	return Options{
		Calls: 1000, Warmup: 50, Concurrency: 16, Duration: 5 * time.Second,
		PromptTokens: 100, AnswerTokens: 1, Model: "standin-model", Workspace: "bench", Timeout: 10 * time.Second,
	}
}

func (o Options) check() error {
	for _, c := range []struct {
		field   string
		valid   bool
		value   any
		allowed string
	}{
		{"entry", o.Entry != "", `""`, "a base URL"},
		{"engine", o.Engine != "", `""`, "a base URL"},
		{"calls", o.Calls > 0, o.Calls, "1 or more"},
		{"warmup", o.Warmup >= 0, o.Warmup, "0 or more"},
		{"concurrency", o.Concurrency > 0, o.Concurrency, "1 or more"},
		{"duration", o.Duration >= 0, o.Duration, "0 or a positive time"},
		{"answer-tokens", o.AnswerTokens > 0, o.AnswerTokens, "1 or more"},
		{"timeout", o.Timeout > 0, o.Timeout, "a positive time"},
	} {
		if !c.valid {
			return fmt.Errorf("%s: got %v, allowed: %s", c.field, c.value, c.allowed)
		}
	}
	return nil
}

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Report is the result of a measurement. Added is the difference of the percentiles,
// not a percentile of the differences: the latencies of the two calls of a pair vary
// independently.
type Report struct {
	Calls                   int     `json:"calls"`
	Direct                  Latency `json:"direct"`
	Path                    Latency `json:"path"`
	Added                   Latency `json:"added"`
	DirectRequestsPerSecond float64 `json:"direct_requests_per_second"`
	PathRequestsPerSecond   float64 `json:"path_requests_per_second"`
	Failures                int     `json:"failures"` // failed calls of the measurements of requests/s
}

// String formats the report for a terminal.
func (r Report) String() string {
	return fmt.Sprintf(`calls   %d
direct  p50=%.3f ms p99=%.3f ms %.0f requests/s
path    p50=%.3f ms p99=%.3f ms %.0f requests/s
added   p50=%.3f ms p99=%.3f ms
failures=%d
`, r.Calls, r.Direct.P50MS, r.Direct.P99MS, r.DirectRequestsPerSecond,
		r.Path.P50MS, r.Path.P99MS, r.PathRequestsPerSecond, r.Added.P50MS, r.Added.P99MS, r.Failures)
}

// Measure runs the measurement. The latency part stops at the first call that fails,
// because percentiles of the remaining calls would be too low.
func Measure(ctx context.Context, o Options, timer *jktimer.Service) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	c := newClient(o, timer)
	defer c.close()
	report := Report{Calls: o.Calls}
	direct, path := newHistogram(), newHistogram()
	for i := range o.Warmup + o.Calls {
		d, err := c.callDirect(ctx, i)
		if err != nil {
			return report, fmt.Errorf("direct call %d: %w", i, err)
		}
		p, err := c.callThroughSite(ctx, i)
		if err != nil {
			return report, fmt.Errorf("call %d through the site: %w", i, err)
		}
		if i >= o.Warmup {
			record(direct, d)
			record(path, p)
		}
	}
	report.Direct, report.Path = percentiles(direct), percentiles(path)
	report.Added = Latency{
		P50MS: report.Path.P50MS - report.Direct.P50MS, P99MS: report.Path.P99MS - report.Direct.P99MS,
	}
	if o.Duration > 0 {
		report.DirectRequestsPerSecond = c.measureRate(ctx, c.callDirect, &report.Failures)
		report.PathRequestsPerSecond = c.measureRate(ctx, c.callThroughSite, &report.Failures)
	}
	return report, ctx.Err()
}

// newHistogram returns a histogram of microseconds, up to one minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), time.Minute.Microseconds())) // never fails: the value is in range
}

func percentiles(h *hdrhistogram.Histogram) Latency {
	return Latency{P50MS: float64(h.ValueAtQuantile(50)) / 1000, P99MS: float64(h.ValueAtQuantile(99)) / 1000}
}

// measureRate returns the completed calls per second of concurrent callers. A call
// through the site includes the creation and the end of its program.
func (c *client) measureRate(ctx context.Context, call func(context.Context, int) (time.Duration, error), failures *int) float64 {
	var completed, failed atomic.Int64
	done := make(chan struct{})
	started := c.timer.Now()
	stop := c.timer.After(c.options.Duration, func() { close(done) })
	defer stop()
	var callers sync.WaitGroup
	for n := range c.options.Concurrency {
		callers.Go(func() {
			for i := n; ctx.Err() == nil; i += c.options.Concurrency {
				select {
				case <-done:
					return
				default:
				}
				if _, err := call(ctx, i); err != nil {
					failed.Add(1)
					continue
				}
				completed.Add(1)
			}
		})
	}
	callers.Wait()
	*failures += int(failed.Load())
	return float64(completed.Load()) / c.timer.Now().Sub(started).Seconds()
}
