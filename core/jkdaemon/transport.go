package jkdaemon

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// platformDialTimeout bounds the connection to the platform.
const platformDialTimeout = time.Second

// switchedTransport is the way to the platform; a test can cut it.
type switchedTransport struct {
	once sync.Once
	base *http.Transport
	cut  atomic.Bool
}

// RoundTrip sends a request unless the way is cut. A cut request waits for its
// deadline, as one into a partition does.
func (t *switchedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.once.Do(func() {
		t.base = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: platformDialTimeout}).DialContext,
			MaxIdleConnsPerHost: 4,
		}
	})
	if t.cut.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return t.base.RoundTrip(r)
}
