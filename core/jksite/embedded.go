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

// loopbackAnyPort is a listen address for which the operating system chooses a free port.
const loopbackAnyPort = "127.0.0.1:0"

// Embedded is a site whose daemons and stand-ins run in this process and communicate over
// loopback TCP.
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

// EmbeddedOptions configures an embedded site.
type EmbeddedOptions struct {
	Zones        []string
	HostsPerZone int
	// Folder returns the data folder of a host; an empty path means no disk. It may be
	// nil.
	Folder func(host string) string
	Log    jklog.Logger
	Site   Site
	Engine jkstandin.EngineOptions
	// Intervals overrides intervals of the hosts' settings, as duration strings.
	Intervals map[string]string
	// Limits overrides limits of the hosts' settings.
	Limits map[string]int
}

// StartEmbedded starts a site with one engine and one service in each zone, applies its
// configuration and waits until it is ready. On an error it returns what has been started,
// for Stop.
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
	s, err := jkstandin.Serve(loopbackAnyPort, h, e.Timer)
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
	h := Host{Name: HostName(zone, n), Zone: zone, Listen: loopbackAnyPort, HTTP: loopbackAnyPort, Platform: platform, Intervals: o.Intervals, Limits: o.Limits}
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

// readyInterval is the polling interval of WaitReady.
const readyInterval = 20 * time.Millisecond

// WaitReady waits until every host has the configuration and sees all hosts as up.
func (e *Embedded) WaitReady(ctx context.Context) error {
	for _, d := range e.Daemons {
		for !d.HasJoined(len(e.Daemons)) {
			if !e.Timer.Wait(readyInterval, ctx.Done()) {
				return eris.New("not every host had the configuration and saw all hosts as up in time")
			}
		}
	}
	return nil
}

// Stop kills the daemons, the last one first, and then closes the stand-ins. By then the
// stand-ins have no requests in flight; a graceful shutdown would wait 5 s for
// connections on which no request was ever sent.
func (e *Embedded) Stop(context.Context) {
	for i := len(e.Daemons) - 1; i >= 0; i-- {
		e.Daemons[i].Kill()
	}
	for _, s := range e.servers {
		_ = s.Close()
	}
}
