package jkcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/pmezard/go-difflib/difflib"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkconfigapi"
)

// configCommand holds the flags of the config commands.
type configCommand struct {
	in  io.Reader
	out io.Writer

	server   string
	timeout  time.Duration
	section  string
	revision uint64
	forEdit  bool
	file     string
	team     string
	editID   string
	from     uint64
	before   uint64
	limit    int
	patch    bool
}

// editFile is the file format that get --for-edit prints and edit reads.
type editFile struct {
	Section      string          `json:"section"`
	BaseRevision *uint64         `json:"base_revision"`
	Value        json.RawMessage `json:"value"`
}

func sectionNames() []string {
	var names []string
	for _, s := range jkconfig.Sections() {
		names = append(names, string(s))
	}
	return names
}

func (c *configCommand) get(*kingpin.ParseContext) error {
	if c.forEdit && c.section == "" {
		return &UsageError{Detail: "--for-edit needs the name of a section"}
	}
	if c.forEdit && c.revision > 0 {
		return &UsageError{Detail: "--for-edit prints the newest revision, leave --revision out"}
	}
	d, err := c.document(c.revision)
	if err != nil {
		return err
	}
	if c.section == "" {
		return c.print(d)
	}
	s, ok := d.Sections[c.section]
	if !ok {
		return unknownSection(c.section)
	}
	if c.forEdit {
		return c.print(editFile{Section: c.section, BaseRevision: &d.Revision, Value: s.Value})
	}
	return c.print(s.Value)
}

func (c *configCommand) edit(*kingpin.ParseContext) error {
	f, err := c.readEdit()
	if err != nil {
		return err
	}
	if c.editID == "" {
		c.editID = uuid.NewString()
	}
	edit := jkconfigapi.Edit{EditID: c.editID, BaseRevision: f.BaseRevision, Team: c.team, Value: f.Value}
	var r jkconfigapi.EditResult
	if err := c.post(editPath+f.Section, edit, &r); err != nil {
		return c.advise(err)
	}
	if !r.Changed {
		fmt.Fprintf(c.out, "section %s already has this content at revision %d\n", f.Section, r.Revision)
		return nil
	}
	fmt.Fprintf(c.out, "section %s is edited by revision %d\n", f.Section, r.Revision)
	return nil
}

func (c *configCommand) validate(*kingpin.ParseContext) error {
	sections, err := c.readSections()
	if err != nil {
		return err
	}
	var r jkconfigapi.ValidationResult
	if err := c.post("/validate", jkconfigapi.Validation{Sections: sections}, &r); err != nil {
		return c.advise(err)
	}
	fmt.Fprintf(c.out, "valid with the other sections of revision %d\n", r.Revision)
	return nil
}

func (c *configCommand) diff(*kingpin.ParseContext) error {
	if c.file != "" && c.from > 0 {
		return &UsageError{Detail: "name either a file or --from with a revision, not both"}
	}
	to, err := c.document(c.revision)
	if err != nil {
		return err
	}
	if c.from > 0 {
		from, err := c.document(c.from)
		if err != nil {
			return err
		}
		return c.printDiff(nonEmptySections(from), nonEmptySections(to), revisionName(c.from), revisionName(to.Revision))
	}
	mine, err := c.readSections()
	if err != nil {
		return err
	}
	theirs := nonEmptySections(to)
	for name := range theirs {
		if _, ok := mine[name]; !ok {
			delete(theirs, name)
		}
	}
	return c.printDiff(theirs, mine, revisionName(to.Revision), c.fileName())
}

func (c *configCommand) history(*kingpin.ParseContext) error {
	var h jkconfigapi.History
	path := fmt.Sprintf("/history?limit=%d&before=%d", c.limit, c.before)
	if err := c.fetch(path, &h); err != nil {
		return c.advise(err)
	}
	for _, change := range h.Changes {
		if c.section != "" && c.section != change.Section {
			continue
		}
		fmt.Fprintf(c.out, "%d  %s  %s  team %s  edit %s  base %d\n", change.Revision,
			change.At.UTC().Format(time.RFC3339), change.Section, change.Team, change.EditID, change.BaseRevision)
		if c.patch && len(change.Patch) > 0 {
			fmt.Fprintf(c.out, "    %s\n", change.Patch)
		}
	}
	return nil
}

func (c *configCommand) document(revision uint64) (jkconfigapi.Document, error) {
	path := ""
	if revision > 0 {
		path = "?revision=" + strconv.FormatUint(revision, 10)
	}
	var d jkconfigapi.Document
	return d, c.advise(c.fetch(path, &d))
}

func (c *configCommand) fetch(path string, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	return call(ctx, "GET", c.server, path, nil, answer)
}

func (c *configCommand) post(path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	return call(ctx, "POST", c.server, path, body, answer)
}

// readText returns the content of the file argument, or standard input for the
// argument "-", which Kingpin passes as an empty string.
func (c *configCommand) readText() ([]byte, error) {
	if c.file == "" {
		return io.ReadAll(c.in)
	}
	return os.ReadFile(c.file)
}

func (c *configCommand) fileName() string {
	if c.file == "" {
		return "standard input"
	}
	return c.file
}

func (c *configCommand) readEdit() (editFile, error) {
	text, err := c.readText()
	if err != nil {
		return editFile{}, err
	}
	var f editFile
	if err := json.Unmarshal(text, &f); err != nil {
		return f, &UsageError{Detail: fmt.Sprintf("%s is not valid JSON: %v", c.fileName(), err)}
	}
	if f.Section == "" || f.BaseRevision == nil || len(f.Value) == 0 {
		return f, &UsageError{Detail: c.fileName() + " needs the fields section, base_revision and value; create it by: jasmineknot config get SECTION --for-edit"}
	}
	return f, nil
}

// readSections reads the output of get --for-edit, a document that get printed, or
// an object with sections by name.
func (c *configCommand) readSections() (map[string]json.RawMessage, error) {
	text, err := c.readText()
	if err != nil {
		return nil, err
	}
	var input struct {
		editFile
		Sections map[string]jkconfigapi.Section `json:"sections"`
	}
	if err := json.Unmarshal(text, &input); err != nil {
		return nil, &UsageError{Detail: fmt.Sprintf("%s is not valid JSON: %v", c.fileName(), err)}
	}
	if input.Section != "" {
		return map[string]json.RawMessage{input.Section: input.Value}, nil
	}
	if input.Sections != nil {
		return nonEmptySections(jkconfigapi.Document{Sections: input.Sections}), nil
	}
	var sections map[string]json.RawMessage
	err = json.Unmarshal(text, &sections)
	return sections, err
}

// nonEmptySections returns the sections of a document that are not "{}", the value
// of a section that was never written.
func nonEmptySections(d jkconfigapi.Document) map[string]json.RawMessage {
	all := map[string]json.RawMessage{}
	for name, s := range d.Sections {
		if string(s.Value) != "{}" {
			all[name] = s.Value
		}
	}
	return all
}

func (c *configCommand) print(v any) error {
	text, err := indentJSON(v)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.out, text)
	return nil
}

// printDiff prints a unified diff for each section of either set.
func (c *configCommand) printDiff(from, to map[string]json.RawMessage, fromName, toName string) error {
	names := map[string]bool{}
	for name := range from {
		names[name] = true
	}
	for name := range to {
		names[name] = true
	}
	var sorted []string
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	for _, name := range sorted {
		if err := c.printSectionDiff(name, from[name], to[name], fromName, toName); err != nil {
			return err
		}
	}
	return nil
}

func (c *configCommand) printSectionDiff(name string, from, to json.RawMessage, fromName, toName string) error {
	a, err := indentedLines(from)
	if err != nil {
		return err
	}
	b, err := indentedLines(to)
	if err != nil {
		return err
	}
	return difflib.WriteUnifiedDiff(c.out, difflib.UnifiedDiff{
		A: a, B: b, FromFile: name + " " + fromName, ToFile: name + " " + toName, Context: 3,
	})
}

func indentedLines(text json.RawMessage) ([]string, error) {
	if len(text) == 0 {
		return nil, nil
	}
	shown, err := indentJSON(text)
	return difflib.SplitLines(shown), err
}

// indentJSON returns JSON with sorted keys and one field per line, so that diffs
// don't depend on how a file was written.
func indentJSON(v any) (string, error) {
	if raw, ok := v.(json.RawMessage); ok {
		d := json.NewDecoder(strings.NewReader(string(raw)))
		d.UseNumber()
		v = nil
		if err := d.Decode(&v); err != nil {
			return "", err
		}
	}
	text, err := json.MarshalIndent(v, "", "  ")
	return string(text), err
}

func revisionName(n uint64) string { return fmt.Sprintf("revision %d", n) }
