package jkdaemon

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// platformDialTimeout bounds dialing the platform.
const platformDialTimeout = time.Second

// faultTransport is the HTTP transport to the platform; tests can simulate a partition
// from it.
type faultTransport struct {
	once        sync.Once
	base        *http.Transport
	partitioned atomic.Bool
}

// RoundTrip sends a request. During a simulated partition it blocks until the request's
// deadline, as a real one would.
func (t *faultTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.once.Do(func() {
		t.base = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: platformDialTimeout}).DialContext,
			MaxIdleConnsPerHost: 4,
		}
	})
	if t.partitioned.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return t.base.RoundTrip(r)
}
