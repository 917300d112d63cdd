package jkconfig

import (
	"encoding/json"

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

// slot clears the table of a section and returns where to decode its entries.
func (t *tables) slot(s Section) any {
	switch s {
	case SectionPrograms:
		t.programs = nil
		return &t.programs
	case SectionModels:
		t.models = nil
		return &t.models
	case SectionBudgets:
		t.budgets = nil
		return &t.budgets
	case SectionPriorities:
		t.priorities = nil
		return &t.priorities
	case SectionMenus:
		t.menus = nil
		return &t.menus
	case SectionBookings:
		t.bookings = nil
		return &t.bookings
	case SectionPayments:
		t.payments = nil
		return &t.payments
	}
	return t.fleetSlot(s)
}

func (t *tables) fleetSlot(s Section) any {
	switch s {
	case SectionCapacity:
		t.capacity = nil
		return &t.capacity
	case SectionEndpoints:
		t.endpoints = nil
		return &t.endpoints
	case SectionHosts:
		t.hosts = nil
		return &t.hosts
	case SectionObjectives:
		t.objectives = nil
		return &t.objectives
	}
	return nil
}

// decode replaces the table of one section and returns the section's owner. A
// section that only a newer daemon knows has no table here.
func (t *tables) decode(s Section, text []byte) (owner string, err error) {
	content := struct {
		Owner   string `json:"owner"`
		Entries any    `json:"entries"`
	}{Entries: t.slot(s)}
	if err := json.Unmarshal(text, &content); err != nil {
		return "", eris.Wrapf(err, "decode section %s", s)
	}
	switch s {
	case SectionEndpoints:
		for id, e := range t.endpoints {
			e.id = id
			t.endpoints[id] = e
		}
	case SectionHosts:
		for name, h := range t.hosts {
			h.name = name
			t.hosts[name] = h
		}
	}
	return content.Owner, nil
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
