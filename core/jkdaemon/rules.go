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

// defaultRetryRatio is the share of calls that may be retried if the configuration sets
// none.
const defaultRetryRatio = 0.1

// rules derives the rules of programs, models and services from the configuration in force,
// and tracks which endpoints the home was given last.
type rules struct {
	document func() *jkconfig.Document

	mu sync.Mutex
	// announced holds the endpoints that the home was given last.
	announced map[string]bool
	// revision and members are the versions of the configuration and of the host table
	// that announced was made from.
	revision uint64
	members  uint64
}

// updateVersions records the versions of the configuration and of the host table, and
// reports whether one of them has changed.
func (r *rules) updateVersions(revision, members uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := r.revision == revision && r.members == members
	r.revision = revision
	r.members = members
	return !same
}

// replaceEndpoints records the endpoints that the home is given now, and returns the former
// ones.
func (r *rules) replaceEndpoints(known map[string]bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	former := sortedKeys(r.announced)
	r.announced = known
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

// endpoint converts an endpoint of the configuration to one of the dispatcher.
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

// applyConfig puts a new configuration into force.
func (d *Daemon) applyConfig(doc *jkconfig.Document) {
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
	d.dispatcher.SetQueueOptions(d.queueOptions(doc))
	d.refreshEndpoints()
	d.log.Part("config").Info("configuration is in force", "revision", doc.Revision())
}

// refreshEndpoints gives all endpoints to the home, and to the dispatcher those that this
// host dispatches to. It does nothing while neither the configuration nor the membership
// has changed.
func (d *Daemon) refreshEndpoints() {
	doc := d.follower.Newest()
	zone := d.settings.Zone()
	var members uint64
	d.gossip.WithTable(func(t *jkmember.Table) { members = t.Version() })
	if !d.rules.updateVersions(doc.Revision(), members) {
		return
	}
	known := map[string]bool{}
	var all []jksched.Endpoint
	var zoneEndpoints []jkdispatch.Endpoint
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
			zoneEndpoints = append(zoneEndpoints, e)
			names = append(names, e.ID)
		}
	}
	var removed []string
	for _, id := range d.rules.replaceEndpoints(known) {
		if !known[id] {
			removed = append(removed, id)
		}
	}
	d.home.SetEndpoints(all, removed)
	d.dispatcher.SetEndpoints(d.dispatchedHere(zoneEndpoints, names))
}

// dispatchedHere returns the endpoints of this zone that this host dispatches to.
func (d *Daemon) dispatchedHere(zoneEndpoints []jkdispatch.Endpoint, names []string) []jkdispatch.Endpoint {
	var out []jkdispatch.Endpoint
	d.gossip.WithTable(func(t *jkmember.Table) {
		dispatchers := t.Dispatchers(d.settings.Zone(), names)
		for _, e := range zoneEndpoints {
			if h, ok := dispatchers[e.ID]; ok && h.Incarnation == t.Self().Incarnation {
				out = append(out, e)
			}
		}
	})
	return out
}

// receiveConfig applies a configuration that a peer has sent: its changes if they fit, else
// the whole document.
func (d *Daemon) receiveConfig(c jkmsg.Config) {
	if len(c.Changes) > 0 {
		if err := d.follower.ApplyChanges(c.Changes); err == nil {
			return
		}
	}
	if len(c.Document) == 0 {
		return
	}
	if _, err := d.follower.ApplySnapshot(c.Revision, c.Document); err != nil {
		d.log.Part("config").Error("configuration of a peer can't be applied", err)
	}
}

// configSince returns the changes after a peer's older revision, or the whole document if
// the changes are no longer in memory.
func (d *Daemon) configSince(have uint64) (jkmsg.Config, error) {
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
