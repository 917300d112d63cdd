package jkdaemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkcontrol"
	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkorder"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktoken"
)

// controllerInterval is the time between two rounds of the controller.
const controllerInterval = time.Second

// orders connects the daemon to the controller that loads and unloads models on the zone's
// engines. The controller is nil if the settings allow this host no model loads.
type orders struct {
	daemon     *Daemon
	controller *jkcontrol.Controller
}

func newOrders(d *Daemon) *orders {
	o := &orders{daemon: d}
	loads := d.settings.Limits().ModelLoads()
	if loads == 0 {
		return o
	}
	limits := jkorder.DefaultOptions()
	limits.Zone = d.settings.Zone()
	limits.MaxLoads, limits.LoadBurst = loads, loads
	limits.LoadInterval = d.settings.Intervals().ModelLoad()
	o.controller = jkcontrol.New(jkcontrol.Options{
		Holder: func() string { return d.home.Self().String() },
		Timer:  d.options.Timer, Log: d.log.Part("orders"), Platform: d.platform, Limits: limits,
		IsLeader: d.isLeader, Revision: d.follower.Revision, Wanted: o.wanted, Calls: o.calls, OnOrderResult: o.count,
		ReadState: d.endpoints.State, SendOrder: d.endpoints.Order,
	})
	return o
}

func (o *orders) start() (stop func()) {
	if o.controller == nil {
		return func() {}
	}
	return o.daemon.options.Timer.Every(controllerInterval, o.controller.Tick)
}

// stop releases the controller's lease so that another host can take over.
func (o *orders) stop() {
	if o.controller != nil {
		o.controller.Stop()
	}
}

func (o *orders) close() {
	if o.controller != nil {
		o.controller.Close()
	}
}

// wanted returns the engines and models of the configuration in force.
func (o *orders) wanted() jkorder.Wanted {
	doc := o.daemon.follower.Newest()
	w := jkorder.Wanted{Revision: doc.Revision()}
	for _, e := range doc.Endpoints() {
		if e.Kind() != jkconfig.KindEngine {
			continue
		}
		w.Engines = append(w.Engines, jkorder.EngineSpec{
			ID: e.ID(), Zone: e.Zone(), Addr: e.Address(), Models: e.Models(),
			ChecksFencing: e.ChecksFencing(), Leaving: e.State() == jkconfig.StateLeaving,
		})
	}
	for _, name := range doc.Models() {
		m, _ := doc.Model(name)
		w.Models = append(w.Models, jkorder.ModelSpec{
			Name: name, Versions: m.Versions(), Replicas: m.Replicas(), Endpoints: m.Endpoints(), Adapter: m.Adapter(),
		})
	}
	return w
}

// calls returns the running and queued calls of each endpoint, as its dispatcher reports
// them.
func (o *orders) calls() map[string]int {
	calls := map[string]int{}
	for _, loads := range [][]jksched.Load{o.daemon.gossip.Loads(), o.daemon.dispatcher.Loads()} {
		for _, l := range loads {
			calls[l.Endpoint] = l.Running + l.Queued
		}
	}
	return calls
}

func (o *orders) count(kind jkendpoint.OrderKind, r jkorder.Result) {
	o.daemon.metrics.set.GetOrCreateCounter(fmt.Sprintf(`jk_orders_total{kind=%q,result=%q}`, kind, r)).Inc()
}

func (o *orders) gauges(gauge func(name string, read func() float64)) {
	if o.controller == nil {
		return
	}
	gauge("jk_order_controller", func() float64 {
		if o.controller.Status().Controller {
			return 1
		}
		return 0
	})
	gauge("jk_engines_loading", func() float64 { return float64(o.controller.Status().Loading) })
	for _, phase := range []jkorder.Phase{jkorder.PhaseRunning, jkorder.PhaseWaiting, jkorder.PhaseHalted} {
		gauge(fmt.Sprintf(`jk_rollouts{phase=%q}`, phase), func() float64 {
			n := 0
			for _, r := range o.controller.Status().Rollouts {
				if r.Phase == phase {
					n++
				}
			}
			return float64(n)
		})
	}
}

// controllerOf returns the host that holds a zone's controller lease at the platform, and
// whether there is one that is up.
func (o *orders) controllerOf(ctx context.Context, zone string) (jkmember.Host, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	lease, err := o.daemon.platform.ReadLease(ctx, jkcontrol.LeaseKey(zone))
	var none *jkplatform.NotFoundError
	if errors.As(err, &none) {
		return jkmember.Host{}, false, nil
	}
	if err != nil {
		return jkmember.Host{}, false, err
	}
	holder, err := jktoken.ParseIncarnation(lease.Holder)
	if err != nil {
		return jkmember.Host{}, false, err
	}
	var host jkmember.Host
	var status jkmember.Status
	o.daemon.gossip.WithTable(func(t *jkmember.Table) { host, status = t.Status(holder.Host) })
	return host, status == jkmember.StatusUp && host.Incarnation == holder, nil
}
