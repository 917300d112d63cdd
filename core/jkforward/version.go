package jkforward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jkupstream"
)

// A stream whose route is resumable stays at the software version of the endpoint that began it,
// since what two versions generate doesn't fit together and endpoints don't check it. Its version is
// recorded with its reservation, which is on the program's copies before the request is sent: so
// every host finds it, also after all hosts that forward requests have ended.

// versionSeparator can't occur in a request's id, which is the value of a header.
const versionSeparator = "\x00"

// AtVersion returns the name of the reservation of a stream that runs at a software version.
func AtVersion(request, version string) string { return request + versionSeparator + version }

// VersionOf returns the software version in the name of a request's reservation.
func VersionOf(reservation, request string) (version string, ok bool) {
	return strings.CutPrefix(reservation, request+versionSeparator)
}

// streamProgram returns the program under which the version of a stream without a budget is recorded.
func streamProgram(origin string) string { return "stream" + versionSeparator + origin }

// streamRetention is how long the version of a stream is recorded if its route sets no retention.
const streamRetention = time.Minute

// UnknownStreamError is returned if no copy knows the version of a stream that is to be continued.
type UnknownStreamError struct{ Request string }

func (e *UnknownStreamError) Error() string {
	return fmt.Sprintf("the software version of stream %q is not known", e.Request)
}

// isContinued reports whether the caller continues a stream that an earlier request began.
func (c *call) isContinued() bool { return c.route.Resumable() && c.info.LastEvent != "" }

// origin returns the request that began the stream.
func (c *call) origin() string {
	if c.isContinued() && c.info.Resumes != "" {
		return c.info.Resumes
	}
	return c.info.Request
}

// bind limits the call to endpoints of a software version.
func (c *call) bind(version string) { c.version, c.versionBound = version, true }

// bindNew binds a new stream to the version of the endpoint that it would be sent to.
func (h *Handler) bindNew(c *call) *refusal {
	version, err := h.Fleet.chooseVersion(c.schedulerCall())
	if err != nil {
		return h.placementRefusal(c, err)
	}
	c.bind(version)
	c.reservation = AtVersion(c.scoped(c.info.Request), version)
	return nil
}

// startOf returns the start of the endpoint that may run the call; nil means any. The registry's entry
// tells the version of one start only.
func (h *Handler) startOf(c *call) *jkupstream.Start {
	if !c.versionBound || c.last.born == 0 || h.Dialect.ReportTarget == "" {
		return nil
	}
	return &jkupstream.Start{
		Born: c.last.born, Target: h.Dialect.ReportTarget, Decode: h.Dialect.DecodeReport,
		IsOther: func(a http.Header) bool { return h.Dialect.DecodeResponse(a).Request != "" },
	}
}

// bornOf returns the start time of an endpoint in its registry entry, or zero. The caller holds the
// lock.
func (f *Fleet) bornOf(id string) int64 {
	if n := f.notices[id]; n != nil {
		return n.born
	}
	return 0
}

// bindUnknown binds a continued stream whose version no copy knows, which a host of an earlier
// release may have begun, if it can have begun at one version only.
func (h *Handler) bindUnknown(c *call) *refusal {
	timeout := c.route.Timeout()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	// A stream lasts for its route's timeout, and its caller continues it within another one.
	within := 2*timeout + maxRegistryLag
	version, ok := h.Fleet.onlyVersionWithin(c.service.Name(), within, c.receivedAt)
	if ok {
		version, ok = h.confirmOnlyVersion(c, within)
	}
	if !ok {
		h.Metrics.countContinued(continuedUnknown)
		h.release(c)
		return &refusal{status: http.StatusServiceUnavailable, reason: "unknown_stream", retryAfter: slotRetryAfter}
	}
	h.Metrics.countContinued(continuedOnlyVersion)
	h.Log.Info("unknown stream continued", "request", c.info.Request, "resumes", c.info.Resumes, "version", version)
	c.bind(version)
	return nil
}

// confirmOnlyVersion returns the only version of a service once the registry has confirmed what this
// host knows of it. The stream began before its caller continued it, so at an endpoint that the registry
// had when the request arrived.
func (h *Handler) confirmOnlyVersion(c *call, within time.Duration) (version string, ok bool) {
	ctx, cancel := h.admissionContext(c)
	defer cancel()
	if !h.Fleet.registryConfirmed(ctx) {
		return "", false
	}
	return h.Fleet.onlyVersionWithin(c.service.Name(), within, c.receivedAt)
}

// maxRegistryLag is how much later than the others a host may learn of an endpoint.
const maxRegistryLag = 5 * time.Second

// versionHistory holds which software versions the endpoints of a service have had.
type versionHistory struct {
	// knownSince is when the service's first endpoint was known.
	knownSince time.Time
	// endpoints holds the version of each known endpoint, and lastSeen when a version was last that
	// of an endpoint which was removed or has another one now.
	endpoints map[string]string
	lastSeen  map[string]time.Time
}

// recordVersion records the version of an endpoint. The caller holds the lock.
func (f *Fleet) recordVersion(e jksched.Endpoint) {
	h := f.versions[e.Service]
	if h == nil {
		h = &versionHistory{knownSince: f.timer.Now(), endpoints: map[string]string{}, lastSeen: map[string]time.Time{}}
		f.versions[e.Service] = h
	}
	if before, ok := h.endpoints[e.ID]; ok && before != e.Version {
		h.lastSeen[before] = f.timer.Now()
	}
	h.endpoints[e.ID] = e.Version
}

// forgetVersion records that an endpoint was removed. The caller holds the lock.
func (f *Fleet) forgetVersion(id string) {
	for _, h := range f.versions {
		if version, ok := h.endpoints[id]; ok {
			h.lastSeen[version] = f.timer.Now()
			delete(h.endpoints, id)
		}
	}
}

// ForgetVersions forgets for how long the services have been known: versions may have come and gone
// without this host's knowledge.
func (f *Fleet) ForgetVersions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.versions {
		h.knownSince = f.timer.Now()
	}
}

// SetRegistryConfirmation sets the function that waits until this host knows all that the registry holds
// at the time of the call, and reports whether it does.
func (f *Fleet) SetRegistryConfirmation(confirm func(ctx context.Context) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmRegistry = confirm
}

func (f *Fleet) registryConfirmed(ctx context.Context) bool {
	f.mu.Lock()
	confirm := f.confirmRegistry
	f.mu.Unlock()
	return confirm != nil && confirm(ctx)
}

// onlyVersionWithin returns the version of a service's endpoints if none of them had another one within
// a time before the given one, or has had since. It reports false if this host hasn't known the service
// for so long. It doesn't tell whether this host has heard of the newest endpoints.
func (f *Fleet) onlyVersionWithin(service string, within time.Duration, before time.Time) (version string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, from := f.versions[service], before.Add(-within)
	if h == nil || h.knownSince.After(from) {
		return "", false
	}
	recent := map[string]bool{}
	for _, v := range h.endpoints {
		recent[v] = true
	}
	for v, at := range h.lastSeen {
		if at.After(from) {
			recent[v] = true
		}
	}
	for v := range recent {
		version = v
	}
	return version, len(recent) == 1
}
