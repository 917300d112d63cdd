package jkconfig

import (
	"slices"
	"sort"

	"jasmineknot.example/core/jkschema"
)

// defaultEntry is the entry of budgets and capacity that covers everything
// without its own.
const defaultEntry = "default"

// rule is a check that the schema can't express. It runs only when all sections
// it needs have passed their schema, so one mistake isn't reported twice.
type rule struct {
	needs []Section
	check func(t *tables, r *findings)
}

func rules() []rule {
	return []rule{
		{[]Section{SectionPrograms, SectionModels}, programModels},
		{[]Section{SectionPrograms, SectionPriorities}, programPriorities},
		{[]Section{SectionModels}, modelPlacement},
		{[]Section{SectionModels, SectionEndpoints}, modelEndpoints},
		{[]Section{SectionEndpoints}, endpointKinds},
		{[]Section{SectionEndpoints, SectionModels}, endpointModels},
		{[]Section{SectionEndpoints, SectionHosts}, endpointZones},
		{[]Section{SectionEndpoints}, endpointAddresses},
		{[]Section{SectionHosts}, hostAddresses},
		{[]Section{SectionMenus, SectionBookings, SectionPayments}, serviceOwners},
		{[]Section{SectionCapacity, SectionEndpoints, SectionModels}, capacityScopes},
		{[]Section{SectionObjectives, SectionBudgets, SectionPriorities}, objectiveScopes},
	}
}

// findings collects the problems of all rules.
type findings struct {
	problems []jkschema.FieldError
}

func (r *findings) add(field string, value any, allowed string) {
	r.problems = append(r.problems, jkschema.FieldError{Field: field, Value: jkschema.Shown(value), Allowed: allowed})
}

func entry(s Section, id, field string) string {
	at := string(s) + ".entries." + id
	if field == "" {
		return at
	}
	return jkschema.Join(at, field)
}

func programModels(t *tables, r *findings) {
	for name, p := range t.programs {
		for _, m := range p.Models() {
			if _, ok := t.models[m]; !ok {
				r.add(entry(SectionPrograms, name, "models"), m, "a model of the section models")
			}
		}
	}
}

func programPriorities(t *tables, r *findings) {
	for name, p := range t.programs {
		if _, ok := t.priorities[p.Priority()]; !ok {
			r.add(entry(SectionPrograms, name, "priority"), p.Priority(), "a class of the section priorities")
		}
	}
}

func modelPlacement(t *tables, r *findings) {
	for name, m := range t.models {
		if (m.Replicas() > 0) == (len(m.Endpoints()) > 0) {
			r.add(entry(SectionModels, name, "replicas"), m.Replicas(), "either replicas or endpoints, not both and not neither")
		}
	}
}

func modelEndpoints(t *tables, r *findings) {
	for name, m := range t.models {
		for _, id := range m.Endpoints() {
			e, ok := t.endpoints[id]
			if !ok || !slices.Contains(e.Models(), name) {
				r.add(entry(SectionModels, name, "endpoints"), id, "an endpoint whose models include "+name)
			}
		}
	}
}

func endpointKinds(t *tables, r *findings) {
	for id, e := range t.endpoints {
		switch e.Kind() {
		case KindEngine:
			if len(e.Models()) == 0 {
				r.add(entry(SectionEndpoints, id, "models"), e.Models(), "at least one model for an engine")
			}
			if e.Service() != "" {
				r.add(entry(SectionEndpoints, id, "service"), e.Service(), "no service for an engine")
			}
		case KindService:
			if len(e.Models()) > 0 {
				r.add(entry(SectionEndpoints, id, "models"), e.Models(), "no models for a service")
			}
			if e.Service() == "" {
				r.add(entry(SectionEndpoints, id, "service"), e.Service(), "the name of the service")
			}
		}
	}
}

func endpointModels(t *tables, r *findings) {
	for id, e := range t.endpoints {
		for _, m := range e.Models() {
			if _, ok := t.models[m]; !ok {
				r.add(entry(SectionEndpoints, id, "models"), m, "a model of the section models")
			}
		}
	}
}

// endpointZones refuses an endpoint in a zone without hosts: its dispatcher is
// a host of its own zone.
func endpointZones(t *tables, r *findings) {
	zones := map[string]bool{}
	for _, h := range t.hosts {
		zones[h.Zone()] = true
	}
	for id, e := range t.endpoints {
		if !zones[e.Zone()] {
			r.add(entry(SectionEndpoints, id, "zone"), e.Zone(), "a zone of the section hosts")
		}
	}
}

func endpointAddresses(t *tables, r *findings) {
	addresses := map[string]string{}
	for id, e := range t.endpoints {
		addresses[id] = e.Address()
	}
	uniqueAddresses(SectionEndpoints, addresses, r)
}

func hostAddresses(t *tables, r *findings) {
	addresses := map[string]string{}
	for name, h := range t.hosts {
		addresses[name] = h.Address()
	}
	uniqueAddresses(SectionHosts, addresses, r)
}

func uniqueAddresses(s Section, addresses map[string]string, r *findings) {
	ids := make([]string, 0, len(addresses))
	for id := range addresses {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	first := map[string]string{}
	for _, id := range ids {
		address := addresses[id]
		if other, ok := first[address]; ok {
			r.add(entry(s, id, "address"), address, "an address that "+other+" doesn't have")
			continue
		}
		first[address] = id
	}
}

// serviceOwners refuses rules for one service in two sections: two teams would
// decide whether its calls may be repeated.
func serviceOwners(t *tables, r *findings) {
	first := map[string]Section{}
	for _, s := range serviceSections() {
		for service := range t.rules(s) {
			if other, ok := first[service]; ok {
				r.add(entry(s, service, ""), service, "a service without rules in section "+string(other))
				continue
			}
			first[service] = s
		}
	}
}

func capacityScopes(t *tables, r *findings) {
	for scope := range t.capacity {
		_, isEndpoint := t.endpoints[scope]
		_, isModel := t.models[scope]
		if scope != defaultEntry && !isEndpoint && !isModel {
			r.add(entry(SectionCapacity, scope, ""), scope, "default, an endpoint or a model")
		}
	}
}

func objectiveScopes(t *tables, r *findings) {
	for name, o := range t.objectives {
		if _, ok := t.budgets[o.Workspace()]; o.Workspace() != "" && !ok {
			r.add(entry(SectionObjectives, name, "workspace"), o.Workspace(), "a workspace of the section budgets")
		}
		if _, ok := t.priorities[o.Class()]; o.Class() != "" && !ok {
			r.add(entry(SectionObjectives, name, "class"), o.Class(), "a class of the section priorities")
		}
	}
}
