package jkconfig

import (
	"flag"
	"os"
	"strings"
	"testing"

	"jasmineknot.example/core/jkschema"
	"jasmineknot.example/core/jksettings"
)

var updateReference = flag.Bool("update-reference", false, "write the tables of docs/configuration.md")

const referencePage = "../../docs/configuration.md"

// Guards against a reference page whose tables don't match the schemas.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, s := range Sections() {
		names = append(names, string(s))
	}
	document, err := jkschema.Reference(Schema(), nil, names)
	if err != nil {
		t.Fatal(err)
	}
	defaults, err := jksettings.DefaultText()
	if err != nil {
		t.Fatal(err)
	}
	settings, err := jkschema.Reference(jksettings.Schema(), defaults, nil)
	if err != nil {
		t.Fatal(err)
	}
	want := insert(t, insert(t, string(page), "document", document), "settings", settings)
	if *updateReference {
		if err := os.WriteFile(referencePage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want != string(page) {
		t.Fatal("docs/configuration.md is out of date: go test ./core/jkconfig -run Reference -update-reference")
	}
}

// insert replaces the text between the markers of a generated part.
func insert(t *testing.T, page, name, text string) string {
	t.Helper()
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, ok := strings.Cut(page, begin)
	_, after, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		t.Fatalf("no markers for %s", name)
	}
	return before + begin + "\n" + text + "\n" + end + after
}
