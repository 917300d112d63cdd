// Package jkconfig stores, validates and distributes the operators' configuration:
// one document whose sections belong to different teams. Each accepted edit is a
// numbered revision, written to the platform by create-if-absent. An Editor writes
// revisions, a Follower keeps a daemon's document at the newest one. The HTTP API is
// in jkconfigapi; the settings of a single daemon are in jksettings.
package jkconfig

import (
	"maps"
	"sort"

	"github.com/rotisserie/eris"
)

// Document is one revision of the configuration with its decoded entries. It is
// immutable; daemons keep a pointer to the newest one.
type Document struct {
	revision uint64
	// position is the platform's version number of the revision's record. A
	// watch continues from it.
	position uint64
	sections map[Section]sectionContent
	tables
}

// Empty returns revision 0, which has no content.
func Empty() *Document { return &Document{sections: map[Section]sectionContent{}} }

// Revision returns the number of the revision; 0 is the empty document.
func (d *Document) Revision() uint64 { return d.revision }

// Text returns the JSON text of a section and the revision that wrote it.
func (d *Document) Text(s Section) ([]byte, uint64) {
	c := d.sections[s]
	return c.text(), c.revision
}

// Owner returns the team that may edit a section, or "" for a section that
// nobody has written yet.
func (d *Document) Owner(s Section) string { return d.sections[s].owner }

// apply returns the document after a change, which must be the next revision.
func (d *Document) apply(c Change) (*Document, error) {
	if c.Revision != d.revision+1 {
		return nil, eris.Errorf("revision %d doesn't follow revision %d", c.Revision, d.revision)
	}
	patch, err := c.patch()
	if err != nil {
		return nil, err
	}
	next := &Document{
		revision: c.Revision, position: c.Position,
		sections: maps.Clone(d.sections), tables: d.tables,
	}
	section, changed, err := d.sections[c.Section].applyPatch(patch, c.Revision)
	if err != nil {
		return nil, eris.Wrapf(err, "apply revision %d", c.Revision)
	}
	next.sections[c.Section] = section
	return next, next.update(c.Section, changed)
}

// Program returns a program template by its name.
func (d *Document) Program(name string) (Program, bool) {
	p, ok := d.programs[name]
	return p, ok
}

// Model returns a model by its name.
func (d *Document) Model(name string) (Model, bool) {
	m, ok := d.models[name]
	return m, ok
}

// Models returns the names of all models in alphabetical order.
func (d *Document) Models() []string {
	names := make([]string, 0, len(d.models))
	for name := range d.models {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Budget returns the budget of a workspace, or the entry default if the workspace
// has no budget of its own.
func (d *Document) Budget(workspace string) (Budget, bool) {
	if b, ok := d.budgets[workspace]; ok {
		return b, true
	}
	b, ok := d.budgets[defaultEntry]
	return b, ok
}

// Priority returns a priority class by its name.
func (d *Document) Priority(class string) (Priority, bool) {
	p, ok := d.priorities[class]
	return p, ok
}

// Capacity returns the limits of an endpoint or a model. Limits that its entry
// doesn't set come from the entry default.
func (d *Document) Capacity(scope string) Capacity {
	return d.capacity[scope].orElse(d.capacity[defaultEntry])
}

// Service returns the rules of a service and whether it has any. The zero rules of
// a service without an entry allow no call to be repeated.
func (d *Document) Service(name string) (ServiceRules, bool) {
	for _, s := range serviceSections() {
		if r, ok := d.serviceRules(s)[name]; ok {
			return r, true
		}
	}
	return ServiceRules{}, false
}

// Endpoint returns a back end by its id.
func (d *Document) Endpoint(id string) (Endpoint, bool) {
	e, ok := d.endpoints[id]
	return e, ok
}

// Endpoints returns all back ends ordered by id.
func (d *Document) Endpoints() []Endpoint {
	all := make([]Endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// Host returns an entry host by its name.
func (d *Document) Host(name string) (Host, bool) {
	h, ok := d.hosts[name]
	return h, ok
}

// Hosts returns all entry hosts ordered by name.
func (d *Document) Hosts() []Host {
	all := make([]Host, 0, len(d.hosts))
	for _, h := range d.hosts {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// Objectives returns the service-level objectives by name.
func (d *Document) Objectives() map[string]Objective {
	all := make(map[string]Objective, len(d.objectives))
	for name, o := range d.objectives {
		all[name] = o
	}
	return all
}
