package jkconfig

import (
	"encoding/json"
	"maps"
	"reflect"

	"github.com/rotisserie/eris"
)

// tables holds the decoded entries. A table is never changed once it is part of
// a document; a new revision shares the tables of the sections it didn't touch.
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

// slot is one table, open for changes.
type slot struct {
	// entries is a pointer to the map.
	entries any
	remove  func(id string)
}

// open copies the table of a section, so that it can be changed.
func (t *tables) open(s Section) slot {
	switch s {
	case SectionPrograms:
		t.programs = maps.Clone(t.programs)
		return slot{&t.programs, func(id string) { delete(t.programs, id) }}
	case SectionModels:
		t.models = maps.Clone(t.models)
		return slot{&t.models, func(id string) { delete(t.models, id) }}
	case SectionBudgets:
		t.budgets = maps.Clone(t.budgets)
		return slot{&t.budgets, func(id string) { delete(t.budgets, id) }}
	case SectionPriorities:
		t.priorities = maps.Clone(t.priorities)
		return slot{&t.priorities, func(id string) { delete(t.priorities, id) }}
	case SectionMenus:
		t.menus = maps.Clone(t.menus)
		return slot{&t.menus, func(id string) { delete(t.menus, id) }}
	case SectionBookings:
		t.bookings = maps.Clone(t.bookings)
		return slot{&t.bookings, func(id string) { delete(t.bookings, id) }}
	case SectionPayments:
		t.payments = maps.Clone(t.payments)
		return slot{&t.payments, func(id string) { delete(t.payments, id) }}
	}
	return t.openFleet(s)
}

func (t *tables) openFleet(s Section) slot {
	switch s {
	case SectionCapacity:
		t.capacity = maps.Clone(t.capacity)
		return slot{&t.capacity, func(id string) { delete(t.capacity, id) }}
	case SectionEndpoints:
		t.endpoints = maps.Clone(t.endpoints)
		return slot{&t.endpoints, func(id string) { delete(t.endpoints, id) }}
	case SectionHosts:
		t.hosts = maps.Clone(t.hosts)
		return slot{&t.hosts, func(id string) { delete(t.hosts, id) }}
	case SectionObjectives:
		t.objectives = maps.Clone(t.objectives)
		return slot{&t.objectives, func(id string) { delete(t.objectives, id) }}
	}
	// A section that only a newer daemon knows has no table here.
	return slot{entries: &map[string]any{}, remove: func(string) {}}
}

// update replaces the changed entries of a section; a nil text removes one.
// The cost depends on the number of changes but for the copy of the table.
func (t *tables) update(s Section, changed map[string][]byte) error {
	to := t.open(s)
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
	t.nameEntries(s, present)
	return nil
}

// clear empties the table of a section.
func (t *tables) clear(s Section) {
	to := t.open(s)
	reflect.ValueOf(to.entries).Elem().SetZero()
}

// nameEntries stores the key of an entry in it, where its accessors return it.
func (t *tables) nameEntries(s Section, changed map[string]json.RawMessage) {
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

// rules returns the rules table of a service section.
func (t *tables) rules(s Section) map[string]ServiceRules {
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
