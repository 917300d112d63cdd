package jkplatform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Limits of one client. The platform takes several hundred writes and about two
// thousand reads a second from up to 410 daemons, which leaves a daemon about
// five calls a second over long periods; the rate allows a few daemons to be
// busier, the burst covers a start or a takeover.
const (
	callsPerSecond = 50
	callBurst      = 100
)

// NewHTTP returns a client that speaks the HTTP and JSON protocol of this package. Calls
// end with their context. A nil http.Client means one with its own connections.
func NewHTTP(baseURL string, client *http.Client) *Client {
	return NewHTTPLimited(baseURL, client, callsPerSecond, callBurst)
}

// NewHTTPLimited is NewHTTP with a limit of calls a second and a burst.
func NewHTTPLimited(baseURL string, client *http.Client, perSecond float64, burst int) *Client {
	h := &httpClient{
		base:  strings.TrimSuffix(baseURL, "/"),
		http:  withoutRedirects(client),
		limit: rate.NewLimiter(rate.Limit(perSecond), burst),
	}
	return &Client{
		Get: h.get, Create: h.create, CompareAndSwap: h.swap, List: h.list, Watch: h.watch,
		AcquireLease: h.acquire, RenewLease: h.renew, ReleaseLease: h.release, ReadLease: h.readLease,
		Hosts: h.hosts,
	}
}

// withoutRedirects copies the client. A redirect would send a write a second
// time.
func withoutRedirects(client *http.Client) *http.Client {
	if client == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		// A pending watch occupies one connection; the others serve concurrent
		// calls, which would otherwise each open a new one.
		transport.MaxIdleConnsPerHost = 16
		client = &http.Client{Transport: transport}
	}
	own := *client
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &own
}

// httpClient holds the state that all calls to one platform share.
type httpClient struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
}

func (h *httpClient) get(ctx context.Context, key string) (Record, error) {
	var r Record
	err := h.read(ctx, "get", PathGet, url.Values{"key": {key}}, &r)
	return r, err
}

func (h *httpClient) create(ctx context.Context, key string, value []byte) (Record, error) {
	if err := checkRecord(key, value); err != nil {
		return Record{}, err
	}
	var r Record
	err := h.write(ctx, "create", PathCreate, writeCall{key: key, body: WriteRequest{Key: key, Value: value}}, &r)
	r.Value = value
	return r, err
}

func (h *httpClient) swap(ctx context.Context, key string, value []byte, version uint64) (Record, error) {
	if err := checkRecord(key, value); err != nil {
		return Record{}, err
	}
	var r Record
	body := WriteRequest{Key: key, Value: value, Version: version}
	err := h.write(ctx, "compare-and-swap", PathSwap, writeCall{key: key, version: version, body: body}, &r)
	r.Value = value
	return r, err
}

func (h *httpClient) list(ctx context.Context, prefix string) ([]Record, error) {
	var a ListResponse
	err := h.read(ctx, "list", PathList, url.Values{"prefix": {prefix}}, &a)
	return a.Records, err
}

func (h *httpClient) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Record, uint64, error) {
	var a ListResponse
	err := h.read(ctx, "watch", PathWatch, url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}, &a)
	return a.Records, max(a.Position, after), err
}

func (h *httpClient) acquire(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error) {
	if err := checkLease(key, ttl); err != nil {
		return Lease{}, err
	}
	body := LeaseRequest{Key: key, Holder: holder, TTLMillisecond: ttl.Milliseconds()}
	var a LeaseResponse
	err := h.write(ctx, "acquire lease", PathAcquire, writeCall{key: key, body: body}, &a)
	return a.Lease(), err
}

func (h *httpClient) renew(ctx context.Context, l Lease, ttl time.Duration) (Lease, error) {
	if err := checkLease(l.Key, ttl); err != nil {
		return Lease{}, err
	}
	body := LeaseRequest{Key: l.Key, Holder: l.Holder, Token: l.Token, TTLMillisecond: ttl.Milliseconds()}
	var a LeaseResponse
	err := h.write(ctx, "renew lease", PathRenew, writeCall{key: l.Key, version: l.Token, body: body}, &a)
	return a.Lease(), err
}

func (h *httpClient) release(ctx context.Context, l Lease) error {
	body := LeaseRequest{Key: l.Key, Holder: l.Holder, Token: l.Token}
	var a LeaseResponse
	return h.write(ctx, "release lease", PathRelease, writeCall{key: l.Key, version: l.Token, body: body}, &a)
}

func (h *httpClient) readLease(ctx context.Context, key string) (Lease, error) {
	var a LeaseResponse
	err := h.read(ctx, "read lease", PathLease, url.Values{"key": {key}}, &a)
	return a.Lease(), err
}

func (h *httpClient) hosts(ctx context.Context) ([]HostEntry, error) {
	var a HostsResponse
	err := h.read(ctx, "host list", PathHosts, nil, &a)
	return a.Hosts, err
}

func checkRecord(key string, value []byte) error {
	if key == "" {
		return &InvalidError{Field: "key", Value: `""`, Allowed: "a non-empty key"}
	}
	if len(value) > MaxValue {
		return &InvalidError{Field: "value", Value: strconv.Itoa(len(value)) + " bytes", Allowed: "at most 1048576 bytes"}
	}
	return nil
}

func checkLease(key string, ttl time.Duration) error {
	if key == "" {
		return &InvalidError{Field: "key", Value: `""`, Allowed: "a non-empty key"}
	}
	if ttl < time.Millisecond {
		return &InvalidError{Field: "ttl", Value: ttl.String(), Allowed: "at least 1ms"}
	}
	return nil
}
