package jkconfig

import (
	"encoding/json"
	"maps"
	"reflect"

	"github.com/rotisserie/eris"
)

// tables holds the decoded entries of all sections. A table is never changed once it is
// part of a document; a new revision shares the tables of the sections that it leaves
// unchanged.
type tables struct {
	programs   map[string]Program
	models     map[string]Model
	budgets    map[string]Budget
	priorities map[string]Priority
	menus      map[string]ServiceRules
	bookings   map[string]ServiceRules
	payments   map[string]ServiceRules
	capacity   map[string]Capacity
	endpoints  map[string]Endpoint
	hosts      map[string]Host
	objectives map[string]Objective
}

// editableTable is a cloned table, which may be changed until it is part of a document.
type editableTable struct {
	// entries is a pointer to the map, into which JSON is decoded.
	entries any
	remove  func(id string)
}

// cloneTable replaces the table of a section by a copy that can be changed.
func (t *tables) cloneTable(s Section) editableTable {
	switch s {
	case SectionPrograms:
		t.programs = maps.Clone(t.programs)
		return editableTable{&t.programs, func(id string) { delete(t.programs, id) }}
	case SectionModels:
		t.models = maps.Clone(t.models)
		return editableTable{&t.models, func(id string) { delete(t.models, id) }}
	case SectionBudgets:
		t.budgets = maps.Clone(t.budgets)
		return editableTable{&t.budgets, func(id string) { delete(t.budgets, id) }}
	case SectionPriorities:
		t.priorities = maps.Clone(t.priorities)
		return editableTable{&t.priorities, func(id string) { delete(t.priorities, id) }}
	case SectionMenus:
		t.menus = maps.Clone(t.menus)
		return editableTable{&t.menus, func(id string) { delete(t.menus, id) }}
	case SectionBookings:
		t.bookings = maps.Clone(t.bookings)
		return editableTable{&t.bookings, func(id string) { delete(t.bookings, id) }}
	case SectionPayments:
		t.payments = maps.Clone(t.payments)
		return editableTable{&t.payments, func(id string) { delete(t.payments, id) }}
	}
	return t.cloneFleetTable(s)
}

// cloneFleetTable is cloneTable for the capacity, endpoints, hosts and objectives
// sections.
func (t *tables) cloneFleetTable(s Section) editableTable {
	switch s {
	case SectionCapacity:
		t.capacity = maps.Clone(t.capacity)
		return editableTable{&t.capacity, func(id string) { delete(t.capacity, id) }}
	case SectionEndpoints:
		t.endpoints = maps.Clone(t.endpoints)
		return editableTable{&t.endpoints, func(id string) { delete(t.endpoints, id) }}
	case SectionHosts:
		t.hosts = maps.Clone(t.hosts)
		return editableTable{&t.hosts, func(id string) { delete(t.hosts, id) }}
	case SectionObjectives:
		t.objectives = maps.Clone(t.objectives)
		return editableTable{&t.objectives, func(id string) { delete(t.objectives, id) }}
	}
	// A section that only newer daemons know has no table here: its entries are
	// decoded into a map that isn't used.
	return editableTable{entries: &map[string]any{}, remove: func(string) {}}
}

// update replaces the changed entries of a section; an entry with a nil text is
// removed. The cost grows with the number of changes, except for copying the table.
func (t *tables) update(s Section, changed map[string][]byte) error {
	to := t.cloneTable(s)
	present := map[string]json.RawMessage{}
	for id, text := range changed {
		if text == nil {
			to.remove(id)
			continue
		}
		present[id] = text
	}
	text, err := json.Marshal(present)
	if err != nil {
		return eris.Wrapf(err, "encode section %s", s)
	}
	if err := json.Unmarshal(text, to.entries); err != nil {
		return eris.Wrapf(err, "decode section %s", s)
	}
	t.setEntryKeys(s, present)
	return nil
}

// clear empties the table of a section.
func (t *tables) clear(s Section) {
	to := t.cloneTable(s)
	reflect.ValueOf(to.entries).Elem().SetZero()
}

// setEntryKeys stores each entry's key in the entry, if an accessor returns it.
func (t *tables) setEntryKeys(s Section, changed map[string]json.RawMessage) {
	for id := range changed {
		switch s {
		case SectionEndpoints:
			e := t.endpoints[id]
			e.id = id
			t.endpoints[id] = e
		case SectionHosts:
			h := t.hosts[id]
			h.name = id
			t.hosts[id] = h
		}
	}
}

// serviceRules returns the table of a service section.
func (t *tables) serviceRules(s Section) map[string]ServiceRules {
	switch s {
	case SectionMenus:
		return t.menus
	case SectionBookings:
		return t.bookings
	case SectionPayments:
		return t.payments
	}
	return nil
}
