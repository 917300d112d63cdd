package jkconfig

import (
	_ "embed"

	"jasmineknot.example/core/jkschema"
)

// Section is one part of the document, edited by the team that owns it.
type Section string

// Sections of the document.
const (
	SectionPrograms   Section = "programs"
	SectionModels     Section = "models"
	SectionBudgets    Section = "budgets"
	SectionPriorities Section = "priorities"
	SectionMenus      Section = "menus"
	SectionBookings   Section = "bookings"
	SectionPayments   Section = "payments"
	SectionCapacity   Section = "capacity"
	SectionEndpoints  Section = "endpoints"
	SectionHosts      Section = "hosts"
	SectionObjectives Section = "objectives"
)

// Sections returns all sections, in the order in which the reference page lists them.
func Sections() []Section {
	return []Section{
		SectionPrograms, SectionModels, SectionBudgets, SectionPriorities,
		SectionMenus, SectionBookings, SectionPayments, SectionCapacity,
		SectionEndpoints, SectionHosts, SectionObjectives,
	}
}

// serviceSections returns the sections that hold rules by service. A service occurs
// in only one of them.
func serviceSections() []Section {
	return []Section{SectionMenus, SectionBookings, SectionPayments}
}

//go:embed schema.json
var schemaText []byte

var schemas = compileSchemas()

// Schema returns the text of the JSON schema of the document.
func Schema() []byte { return append([]byte{}, schemaText...) }

func compileSchemas() map[Section]*jkschema.Schema {
	all := map[Section]*jkschema.Schema{}
	for _, s := range Sections() {
		all[s] = jkschema.MustCompile("config.json", "/properties/"+string(s), schemaText)
	}
	return all
}

// Exists reports whether the section exists.
func (s Section) Exists() bool {
	_, ok := schemas[s]
	return ok
}
