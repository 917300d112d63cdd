package jkdaemon

import (
	"context"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jkconfigadapter"
	"jasmineknot.example/core/jkconfigapi"
	"jasmineknot.example/core/jkintake"
	"jasmineknot.example/core/jkmember"
)

// newHTTPServer builds the HTTP server for callers and operators.
func (d *Daemon) newHTTPServer() *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = jkapi.ErrorHandler
	e.Use(d.countRequests)
	bodies := jkintake.NewBodies(d.intakeLimits(), d.options.Timer)
	d.metrics.set.NewGauge("jk_held_request_bytes", func() float64 { return float64(bodies.Held()) })
	jkapi.Register(e, jkapi.Options{
		Timer:   d.options.Timer,
		Call:    d.router.Call,
		Service: d.router.Service,
		Create:  d.router.Create,
		Program: d.router.Program,
		Repeatable: func(service, method, path string) bool {
			return d.rules.service(service, method, path).Repeatable
		},
		Observe:   d.observe,
		BodyLimit: d.settings.Limits().BodyBytes(),
		Bodies:    bodies,
		MaxCalls:  d.settings.Limits().EntryQueue(),
		StopsAt:   d.requests.stopsAt,
	})
	operators := jkapi.BoundBodies(bodies, d.options.Timer, jkconfigapi.DefaultBodyLimit)
	jkconfigapi.Register(e.Group("/v1/config", operators), jkconfigadapter.NewFunctions(d.follower, d.editor))
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", d.readyz)
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
		d.metrics.write(c.Response())
		return nil
	})
	e.GET("/v1/status", d.status)
	e.GET("/v1/report", func(c echo.Context) error {
		return c.JSON(http.StatusOK, d.objectives.Snapshot(d.settings.Host()))
	})
	d.orders.register(e, operators)
	e.GET("/v1/quarantine", d.quarantine)
	e.DELETE("/v1/quarantine/:fingerprint", d.liftQuarantine)
	return &http.Server{
		Handler: e, ReadHeaderTimeout: d.settings.Intervals().DeadAfter(), MaxHeaderBytes: jkintake.MaxHead, ConnState: d.callers.Observe,
		BaseContext: func(net.Listener) context.Context { return d.requests.base },
	}
}

// intakeLimits returns the bounds of what callers can make this host hold.
func (d *Daemon) intakeLimits() jkintake.Limits {
	return jkintake.LimitsFor(d.settings.Limits().MemoryBytes())
}

// countRequests counts the requests in flight. A host that is being stopped asks callers to
// use other connections.
func (d *Daemon) countRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		d.requests.inFlight.Add(1)
		defer d.requests.inFlight.Add(-1)
		if !d.requests.stopsAt().IsZero() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}

// readyz reports whether this host accepts callers. A host without configuration can't
// serve any.
func (d *Daemon) readyz(c echo.Context) error {
	switch {
	case !d.ready.Load():
		return c.String(http.StatusServiceUnavailable, "stopping\n")
	case d.follower.Revision() == 0:
		return c.String(http.StatusServiceUnavailable, "no configuration\n")
	case d.isDrained():
		return c.String(http.StatusServiceUnavailable, "leaving by configuration\n")
	case len(d.diskHosts()) == 0:
		return c.String(http.StatusOK, "ready, but no host has a disk: histories have no copies\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// HostStatus is a host as this one sees it.
type HostStatus struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Status      string `json:"status"`
	Disk        bool   `json:"disk"`
	// HTTP is the address for callers and operators.
	HTTP string `json:"http,omitempty"`
}

// EndpointStatus is an endpoint as this host sees it.
type EndpointStatus struct {
	Endpoint   string `json:"endpoint"`
	Zone       string `json:"zone"`
	State      string `json:"state"`
	Dispatcher string `json:"dispatcher"`
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Limit      int    `json:"limit"`
	// TokenPace is in microseconds a token.
	TokenPace int64  `json:"token_pace_us"`
	Breaker   string `json:"breaker,omitempty"`
}

// Status is the response of /v1/status.
type Status struct {
	Host        string           `json:"host"`
	Revision    uint64           `json:"config_revision"`
	Programs    int              `json:"programs"`
	Running     int              `json:"running_calls"`
	Hosts       []HostStatus     `json:"hosts"`
	Endpoints   []EndpointStatus `json:"endpoints"`
	Quarantined []string         `json:"quarantined"`
}

func (d *Daemon) status(c echo.Context) error {
	s := Status{
		Host: d.settings.Host(), Revision: d.follower.Revision(), Programs: d.home.Programs(),
		Running: d.home.Running(), Quarantined: d.gossip.Quarantined(),
	}
	d.gossip.WithTable(func(t *jkmember.Table) {
		for _, r := range t.All() {
			s.Hosts = append(s.Hosts, HostStatus{
				Host: r.Host.Incarnation.Host, Incarnation: r.Host.Incarnation.String(), Zone: r.Host.Zone,
				State: effectiveState(t, r.Host), Status: string(r.Status), Disk: r.Host.Disk, HTTP: r.Host.HTTP,
			})
		}
	})
	s.Endpoints = d.endpointStatus()
	return c.JSON(http.StatusOK, s)
}

// effectiveState returns a host's own state, or leaving if the configuration drains it.
func effectiveState(t *jkmember.Table, h jkmember.Host) string {
	if t.IsDrained(h.Incarnation.Host) {
		return string(jkmember.StateLeaving)
	}
	return string(h.State)
}

// isDrained reports whether the configuration drains this host.
func (d *Daemon) isDrained() bool {
	drained := false
	d.gossip.WithTable(func(t *jkmember.Table) { drained = t.IsDrained(d.settings.Host()) })
	return drained
}

func (d *Daemon) endpointStatus() []EndpointStatus {
	loads := d.gossip.Loads()
	loads = append(loads, d.dispatcher.Loads()...)
	var out []EndpointStatus
	for _, e := range d.follower.Newest().Endpoints() {
		s := EndpointStatus{Endpoint: e.ID(), Zone: e.Zone(), State: string(e.State())}
		if h, _, ok := d.dispatcherOf(e.ID()); ok {
			s.Dispatcher = h.Incarnation.Host
		}
		for _, l := range loads {
			if l.Endpoint == e.ID() {
				s.Running = l.Running
				s.Queued = l.Queued
				s.Limit = l.Limit
				s.TokenPace = l.TokenPace.Microseconds()
				s.Breaker = string(l.Breaker)
			}
		}
		out = append(out, s)
	}
	return out
}
