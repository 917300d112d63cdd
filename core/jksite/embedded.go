package jksite

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jksettings"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// loopback lets the operating system choose a free port.
const loopback = "127.0.0.1:0"

// Embedded is a site whose daemons and stand-ins run in this process and talk
// over loopback TCP.
type Embedded struct {
	Timer    *jktimer.Service
	Platform *jkstandin.Platform
	Site     Site
	Daemons  []*jkdaemon.Daemon
	Faults   []*jkwire.Faults
	Services []*jkstandin.Service
	Engines  []*jkstandin.Engine
	servers  []*jkstandin.Server
}

// EmbeddedOptions sets the size of an embedded site.
type EmbeddedOptions struct {
	Zones        []string
	HostsPerZone int
	// Folder returns the data folder of a host, empty for none.
	Folder func(host string) string
	Log    jklog.Logger
	Site   Site
	Engine jkstandin.EngineOptions
	// Intervals overrides the hosts' intervals.
	Intervals map[string]string
	// Limits overrides the hosts' limits.
	Limits map[string]int
}

// StartEmbedded starts a site with one engine and one service for each zone and
// puts its configuration into force.
func StartEmbedded(ctx context.Context, o EmbeddedOptions) (*Embedded, error) {
	e := &Embedded{Timer: jktimer.New(), Site: o.Site}
	e.Platform = jkstandin.NewPlatform(e.Timer, jkstandin.PlatformLimits{})
	platform, err := e.serve(e.Platform)
	if err != nil {
		return e, err
	}
	for _, zone := range o.Zones {
		if err := e.startEndpoints(zone, o); err != nil {
			return e, err
		}
		for n := range o.HostsPerZone {
			if err := e.startHost(ctx, zone, n+1, "http://"+platform, o); err != nil {
				return e, err
			}
		}
	}
	if err := e.Site.Write(ctx, http.DefaultClient, e.Daemons[0].HTTP()); err != nil {
		return e, err
	}
	return e, e.WaitReady(ctx)
}

func (e *Embedded) serve(h http.Handler) (string, error) {
	s, err := jkstandin.Serve(loopback, h, e.Timer)
	if err != nil {
		return "", err
	}
	e.servers = append(e.servers, s)
	return s.Address(), nil
}

func (e *Embedded) startEndpoints(zone string, o EmbeddedOptions) error {
	o.Engine.Models = []string{Model}
	engine := jkstandin.NewEngine(o.Engine, e.Timer, jklog.Discard())
	addr, err := e.serve(engine)
	if err != nil {
		return err
	}
	service := jkstandin.NewService(jkstandin.ServiceOptions{}, e.Timer, jklog.Discard())
	serviceAddr, err := e.serve(service)
	if err != nil {
		return err
	}
	e.Engines = append(e.Engines, engine)
	e.Services = append(e.Services, service)
	e.Site.Endpoints = append(e.Site.Endpoints,
		Endpoint{ID: "engine-" + zone, Zone: zone, Address: addr, ChecksFencing: o.Engine.CheckFencing},
		Endpoint{ID: "deposits-" + zone, Zone: zone, Address: serviceAddr, Service: Service})
	return nil
}

func (e *Embedded) startHost(ctx context.Context, zone string, n int, platform string, o EmbeddedOptions) error {
	h := Host{Name: Name(zone, n), Zone: zone, Listen: loopback, HTTP: loopback, Platform: platform, Intervals: o.Intervals, Limits: o.Limits}
	if o.Folder != nil {
		h.DataFolder = o.Folder(h.Name)
	}
	text, err := h.Settings()
	if err != nil {
		return err
	}
	settings, err := jksettings.Parse(text)
	if err != nil {
		return err
	}
	faults := &jkwire.Faults{}
	d, err := jkdaemon.New(settings, jkdaemon.Options{Timer: e.Timer, Log: o.Log, Faults: faults})
	if err != nil {
		return err
	}
	d.Start(ctx)
	h.Listen = d.Addr()
	h.HTTP = d.HTTP()
	e.Site.Hosts = append(e.Site.Hosts, h)
	e.Daemons = append(e.Daemons, d)
	e.Faults = append(e.Faults, faults)
	return nil
}

// readyInterval is the time between two looks at the hosts' knowledge.
const readyInterval = 20 * time.Millisecond

// WaitReady waits until every host has the configuration and sees all others.
func (e *Embedded) WaitReady(ctx context.Context) error {
	for _, d := range e.Daemons {
		for !d.IsComplete(len(e.Daemons)) {
			if !e.Timer.Wait(readyInterval, ctx.Done()) {
				return eris.New("the hosts did not find each other in time")
			}
		}
	}
	return nil
}

// Stop ends the daemons at once, the last one first, and then the stand-ins. The
// stand-ins have no request in flight by then; a graceful shutdown would wait 5 s
// for connections on which no request was ever sent.
func (e *Embedded) Stop(context.Context) {
	for i := len(e.Daemons) - 1; i >= 0; i-- {
		e.Daemons[i].Kill()
	}
	for _, s := range e.servers {
		_ = s.Close()
	}
}
