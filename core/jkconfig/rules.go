package jkconfig

import (
	"slices"
	"sort"

	"jasmineknot.example/core/jkschema"
)

// defaultEntry is the id of the entry of budgets and capacity that applies to
// everything without an entry of its own.
const defaultEntry = "default"

// rule is a check across entries or sections, which the schema can't express. It runs
// only if all sections it needs have passed their schema, so that one mistake isn't
// reported twice.
type rule struct {
	needs []Section
	check func(t *tables, r *findings)
}

func rules() []rule {
	return []rule{
		{[]Section{SectionPrograms, SectionModels}, checkProgramModels},
		{[]Section{SectionPrograms, SectionPriorities}, checkProgramPriorities},
		{[]Section{SectionModels}, checkModelPlacement},
		{[]Section{SectionModels, SectionEndpoints}, checkModelEndpoints},
		{[]Section{SectionEndpoints}, checkEndpointKinds},
		{[]Section{SectionEndpoints, SectionModels}, checkEndpointModels},
		{[]Section{SectionEndpoints, SectionHosts}, checkEndpointZones},
		{[]Section{SectionEndpoints}, checkEndpointAddresses},
		{[]Section{SectionHosts}, checkHostAddresses},
		{[]Section{SectionMenus, SectionBookings, SectionPayments}, checkServiceOwners},
		{[]Section{SectionCapacity, SectionEndpoints, SectionModels}, checkCapacityScopes},
		{[]Section{SectionObjectives, SectionBudgets, SectionPriorities}, checkObjectiveScopes},
	}
}

// findings collects the problems found by schemas and rules.
type findings struct {
	problems []jkschema.FieldError
}

func (r *findings) add(field string, value any, allowed string) {
	r.problems = append(r.problems, jkschema.FieldError{Field: field, Value: jkschema.FormatValue(value), Allowed: allowed})
}

// fieldPath returns the path of an entry, or of one of its fields, in a report.
func fieldPath(s Section, id, field string) string {
	at := string(s) + ".entries." + id
	if field == "" {
		return at
	}
	return jkschema.Join(at, field)
}

func checkProgramModels(t *tables, r *findings) {
	for name, p := range t.programs {
		for _, m := range p.Models() {
			if _, ok := t.models[m]; !ok {
				r.add(fieldPath(SectionPrograms, name, "models"), m, "a model of the section models")
			}
		}
	}
}

func checkProgramPriorities(t *tables, r *findings) {
	for name, p := range t.programs {
		if _, ok := t.priorities[p.Priority()]; !ok {
			r.add(fieldPath(SectionPrograms, name, "priority"), p.Priority(), "a class of the section priorities")
		}
	}
}

// checkModelPlacement refuses a model with both a number of replicas and named
// endpoints, or with neither.
func checkModelPlacement(t *tables, r *findings) {
	for name, m := range t.models {
		if (m.Replicas() > 0) == (len(m.Endpoints()) > 0) {
			r.add(fieldPath(SectionModels, name, "replicas"), m.Replicas(), "either replicas or endpoints, not both and not neither")
		}
	}
}

func checkModelEndpoints(t *tables, r *findings) {
	for name, m := range t.models {
		for _, id := range m.Endpoints() {
			e, ok := t.endpoints[id]
			if !ok || !slices.Contains(e.Models(), name) {
				r.add(fieldPath(SectionModels, name, "endpoints"), id, "an endpoint whose models include "+name)
			}
		}
	}
}

func checkEndpointKinds(t *tables, r *findings) {
	for id, e := range t.endpoints {
		switch e.Kind() {
		case KindEngine:
			if len(e.Models()) == 0 {
				r.add(fieldPath(SectionEndpoints, id, "models"), e.Models(), "at least one model for an engine")
			}
			if e.Service() != "" {
				r.add(fieldPath(SectionEndpoints, id, "service"), e.Service(), "no service for an engine")
			}
		case KindService:
			if len(e.Models()) > 0 {
				r.add(fieldPath(SectionEndpoints, id, "models"), e.Models(), "no models for a service")
			}
			if e.Service() == "" {
				r.add(fieldPath(SectionEndpoints, id, "service"), e.Service(), "the name of the service")
			}
		}
	}
}

func checkEndpointModels(t *tables, r *findings) {
	for id, e := range t.endpoints {
		for _, m := range e.Models() {
			if _, ok := t.models[m]; !ok {
				r.add(fieldPath(SectionEndpoints, id, "models"), m, "a model of the section models")
			}
		}
	}
}

// checkEndpointZones refuses an endpoint in a zone without hosts, because an endpoint's
// dispatcher is a host of its own zone.
func checkEndpointZones(t *tables, r *findings) {
	zones := map[string]bool{}
	for _, h := range t.hosts {
		zones[h.Zone()] = true
	}
	for id, e := range t.endpoints {
		if !zones[e.Zone()] {
			r.add(fieldPath(SectionEndpoints, id, "zone"), e.Zone(), "a zone of the section hosts")
		}
	}
}

func checkEndpointAddresses(t *tables, r *findings) {
	addresses := map[string]string{}
	for id, e := range t.endpoints {
		addresses[id] = e.Address()
	}
	checkUniqueAddresses(SectionEndpoints, addresses, r)
}

func checkHostAddresses(t *tables, r *findings) {
	addresses := map[string]string{}
	for name, h := range t.hosts {
		addresses[name] = h.Address()
	}
	checkUniqueAddresses(SectionHosts, addresses, r)
}

func checkUniqueAddresses(s Section, addresses map[string]string, r *findings) {
	ids := make([]string, 0, len(addresses))
	for id := range addresses {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	first := map[string]string{}
	for _, id := range ids {
		address := addresses[id]
		if other, ok := first[address]; ok {
			r.add(fieldPath(s, id, "address"), address, "an address that "+other+" doesn't have")
			continue
		}
		first[address] = id
	}
}

// checkServiceOwners refuses rules for one service in two sections, because two teams
// would decide whether its calls may be repeated.
func checkServiceOwners(t *tables, r *findings) {
	first := map[string]Section{}
	for _, s := range serviceSections() {
		for service := range t.serviceRules(s) {
			if other, ok := first[service]; ok {
				r.add(fieldPath(s, service, ""), service, "a service without rules in section "+string(other))
				continue
			}
			first[service] = s
		}
	}
}

func checkCapacityScopes(t *tables, r *findings) {
	for scope := range t.capacity {
		_, isEndpoint := t.endpoints[scope]
		_, isModel := t.models[scope]
		if scope != defaultEntry && !isEndpoint && !isModel {
			r.add(fieldPath(SectionCapacity, scope, ""), scope, "default, an endpoint or a model")
		}
	}
}

func checkObjectiveScopes(t *tables, r *findings) {
	for name, o := range t.objectives {
		if _, ok := t.budgets[o.Workspace()]; o.Workspace() != "" && !ok {
			r.add(fieldPath(SectionObjectives, name, "workspace"), o.Workspace(), "a workspace of the section budgets")
		}
		if _, ok := t.priorities[o.Class()]; o.Class() != "" && !ok {
			r.add(fieldPath(SectionObjectives, name, "class"), o.Class(), "a class of the section priorities")
		}
	}
}
