package jkdaemon

import (
	"sort"
	"sync"
	"time"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkdispatch"
	"jasmineknot.example/core/jkhome"
	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktoken"
)

// defaultRetryRatio is the share of calls that may be tried again where the
// configuration names none.
const defaultRetryRatio = 0.1

// rules reads the configuration in force for the other parts.
type rules struct {
	document func() *jkconfig.Document

	mu sync.Mutex
	// placed holds the endpoints that the home was told about last.
	placed map[string]bool
	// revision and members are the versions that placed was made from.
	revision uint64
	members  uint64
}

// changed notes the versions at hand and reports whether one of them is new.
func (r *rules) changed(revision, members uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := r.revision == revision && r.members == members
	r.revision = revision
	r.members = members
	return !same
}

// replace notes the endpoints now told to the home and returns the former ones.
func (r *rules) replace(known map[string]bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	former := sortedKeys(r.placed)
	r.placed = known
	return former
}

func (r *rules) home() jkhome.Rules {
	return jkhome.Rules{
		Template:   r.template,
		Model:      func(name string) bool { _, ok := r.document().Model(name); return ok },
		Service:    r.service,
		RetryRatio: r.retryRatio,
		MaxWait:    func(model string) time.Duration { return r.document().Capacity(model).MaxWait() },
	}
}

func (r *rules) template(name string) (jkhome.Template, bool) {
	d := r.document()
	p, ok := d.Program(name)
	if !ok {
		return jkhome.Template{}, false
	}
	t := jkhome.Template{
		Name: name, Models: p.Models(), Budget: p.BudgetTokens(), ToolTimeout: p.ToolTimeout(),
		Limits: jkprogram.Limits{MaxTurns: uint64(p.MaxTurns()), MaxDuration: p.MaxDuration(), IdleLimit: p.IdleLimit()},
	}
	if class, ok := d.Priority(p.Priority()); ok {
		t.Priority = class.Level()
	}
	return t, true
}

func (r *rules) service(name, method, path string) jkhome.ServiceRule {
	d := r.document()
	rule := jkhome.ServiceRule{Known: r.hasService(name)}
	rule.Repeatable = method == "GET" || method == "HEAD"
	if s, ok := d.Service(name); ok {
		rule.Repeatable = rule.Repeatable || s.Repeatable(path)
		rule.Timeout = s.Timeout(path)
	}
	return rule
}

func (r *rules) hasService(name string) bool {
	for _, e := range r.document().Endpoints() {
		if e.Kind() == jkconfig.KindService && e.Service() == name {
			return true
		}
	}
	return false
}

func (r *rules) retryRatio() float64 {
	if ratio, set := r.document().Capacity("").RetryRatio(); set {
		return ratio
	}
	return defaultRetryRatio
}

// endpoint converts an endpoint of the configuration.
func endpoint(e jkconfig.Endpoint) jkdispatch.Endpoint {
	out := jkdispatch.Endpoint{Addr: e.Address(), Endpoint: jksched.Endpoint{
		ID: e.ID(), Zone: e.Zone(), Kind: jksched.KindModel, Models: e.Models(), Service: e.Service(),
		Slots: e.Slots(), CacheTokens: e.CacheTokens(), State: jksched.StateLive,
	}}
	if e.Kind() == jkconfig.KindService {
		out.Kind = jksched.KindService
	}
	if e.State() == jkconfig.StateLeaving {
		out.State = jksched.StateLeaving
	}
	return out
}

// apply puts a new configuration into force.
func (d *Daemon) apply(doc *jkconfig.Document) {
	drained := map[string]bool{}
	for _, h := range doc.Hosts() {
		if h.State() == jkconfig.StateLeaving {
			drained[h.Name()] = true
		}
		d.gossip.Seed(jkmember.Host{
			Incarnation: jktoken.Incarnation{Host: h.Name()}, Zone: h.Zone(), Addr: h.Address(), State: jkmember.StateLive,
		})
	}
	d.gossip.WithTable(func(t *jkmember.Table) { t.SetDrained(drained) })
	d.objectives.SetObjectives(doc.Objectives())
	d.dispatcher.SetQueueOptions(d.knobs(doc))
	d.refreshEndpoints()
	d.log.Part("config").Info("configuration is in force", "revision", doc.Revision())
}

// refreshEndpoints tells the home which endpoints there are and the dispatcher
// which of them are its own. It does nothing while neither the configuration nor
// the membership has changed.
func (d *Daemon) refreshEndpoints() {
	doc := d.follower.Newest()
	zone := d.settings.Zone()
	var members uint64
	d.gossip.WithTable(func(t *jkmember.Table) { members = t.Version() })
	if !d.rules.changed(doc.Revision(), members) {
		return
	}
	known := map[string]bool{}
	var all []jksched.Endpoint
	var near []jkdispatch.Endpoint
	var names []string
	for _, c := range doc.Endpoints() {
		e := endpoint(c)
		limits := doc.Capacity(e.ID)
		if n := limits.MaxRunning(); n > 0 {
			e.Slots = min(e.Slots, n)
		}
		if n, set := limits.MaxQueued(); set {
			e.MaxQueued = max(1, n)
		}
		known[e.ID] = true
		all = append(all, e.Endpoint)
		if e.Zone == zone {
			near = append(near, e)
			names = append(names, e.ID)
		}
	}
	var gone []string
	for _, id := range d.rules.replace(known) {
		if !known[id] {
			gone = append(gone, id)
		}
	}
	d.home.SetEndpoints(all, gone)
	d.dispatcher.SetEndpoints(d.own(near, names))
}

// own returns the endpoints of this zone that this host dispatches to.
func (d *Daemon) own(near []jkdispatch.Endpoint, names []string) []jkdispatch.Endpoint {
	var out []jkdispatch.Endpoint
	d.gossip.WithTable(func(t *jkmember.Table) {
		dispatchers := t.Dispatchers(d.settings.Zone(), names)
		for _, e := range near {
			if h, ok := dispatchers[e.ID]; ok && h.Incarnation == t.Self().Incarnation {
				out = append(out, e)
			}
		}
	})
	return out
}

// takeConfig takes a configuration that a peer has sent.
func (d *Daemon) takeConfig(c jkmsg.Config) {
	if len(c.Changes) > 0 {
		if err := d.follower.ApplyChanges(c.Changes); err == nil {
			return
		}
	}
	if len(c.Document) == 0 {
		return
	}
	if _, err := d.follower.ApplySnapshot(c.Revision, c.Document); err != nil {
		d.log.Part("config").Error("a peer's configuration can't be used", err)
	}
}

// config answers a peer that has an older revision.
func (d *Daemon) config(have uint64) (jkmsg.Config, error) {
	if changes, ok := d.follower.ChangesAfter(have); ok {
		return jkmsg.Config{Revision: d.follower.Revision(), Changes: changes}, nil
	}
	revision, packed, err := d.follower.Snapshot()
	return jkmsg.Config{Revision: revision, Document: packed}, err
}

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
