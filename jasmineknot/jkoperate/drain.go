package jkoperate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkconfigapi"
	"jasmineknot.example/jasmineknot/jkcaller"
	"jasmineknot.example/jasmineknot/jkcommand"
)

// maxConflicts bounds the repeats of an edit whose section others edit at the
// same time.
const maxConflicts = 5

// drainCommand changes the state of one entry of a section.
type drainCommand struct {
	*command
	section jkconfig.Section
	// noun names an entry in messages.
	noun   string
	name   string
	team   string
	editID string
	last   bool
}

func registerEndpoint(app *kingpin.Application, in io.Reader, out io.Writer) {
	cmd := app.Command("endpoint", "Drain endpoints, take them back and give them orders.")
	d := &drainCommand{command: newCommand(cmd, in, out), section: jkconfig.SectionEndpoints, noun: "endpoint"}
	d.register(cmd, "Give an endpoint no new work; running calls go on.", "Give an endpoint new work again.")
	registerLoad(cmd, d.command, d.names)
}

func registerHost(app *kingpin.Application, in io.Reader, out io.Writer) {
	cmd := app.Command("host", "Drain entry hosts and take them back.")
	d := &drainCommand{command: newCommand(cmd, in, out), section: jkconfig.SectionHosts, noun: "host"}
	drain := d.register(cmd, "Give a host no new copies, endpoints and programs; its programs go on.", "Take a host back.")
	drain.Flag("last", "Drain the host even if its zone has no other live one.").BoolVar(&d.last)
}

// register adds both commands and returns drain.
func (d *drainCommand) register(parent *kingpin.CmdClause, drainHelp, undrainHelp string) *kingpin.CmdClause {
	drain := parent.Command("drain", drainHelp)
	undrain := parent.Command("undrain", undrainHelp)
	for cmd, state := range map[*kingpin.CmdClause]jkconfig.State{drain: jkconfig.StateLeaving, undrain: jkconfig.StateLive} {
		cmd.Arg("name", "Name of the "+d.noun+" in the configuration.").Required().HintAction(d.names).StringVar(&d.name)
		cmd.Flag("team", "Team that makes the edit.").Envar("JASMINEKNOT_TEAM").Required().StringVar(&d.team)
		cmd.Flag("edit-id", "Id of an edit that is sent again; a new one by default.").StringVar(&d.editID)
		cmd.Action(func(*kingpin.ParseContext) error { return d.set(state) })
	}
	return drain
}

// completionTimeout bounds the wait of a shell for names.
const completionTimeout = time.Second

// names completes names in the shell; without a daemon there are none. Flags are
// not parsed yet then, so only the environment can name the daemon.
func (d *drainCommand) names() []string {
	server := os.Getenv(serverVariable)
	if server == "" {
		server = defaultServer
	}
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
	defer cancel()
	s, err := d.read(ctx, server)
	if err != nil {
		return nil
	}
	return s.names()
}

// set edits the state. An edit of the same section by another team means that
// this one was not applied, so it is made again on the new text.
func (d *drainCommand) set(state jkconfig.State) error {
	if d.editID == "" {
		d.editID = uuid.NewString()
	}
	for attempt := 1; ; attempt++ {
		err := d.trySet(state)
		var p *jkconfigapi.Problem
		if attempt == maxConflicts || !errors.As(err, &p) || p.Type != jkconfigapi.KindConflict {
			return d.advise(err)
		}
	}
}

func (d *drainCommand) trySet(state jkconfig.State) error {
	ctx, cancel := d.context()
	defer cancel()
	server, s, err := d.find(ctx)
	if err != nil {
		return err
	}
	entry, ok := s.entries[d.name]
	if !ok {
		return &jkcommand.UsageError{Detail: fmt.Sprintf("%s %q is not in the configuration, the names are %s", d.noun, d.name, strings.Join(s.names(), ", "))}
	}
	if entry.state() == string(state) {
		fmt.Fprintf(d.out, "%s %s is %s already at revision %d\n", d.noun, d.name, state, s.revision)
		return nil
	}
	if err := d.checkLast(s, state); err != nil {
		return err
	}
	entry["state"] = json.RawMessage(`"` + string(state) + `"`)
	value, err := json.Marshal(map[string]any{"owner": s.owner, "entries": s.entries})
	if err != nil {
		return err
	}
	r, err := jkcommand.SendEdit(ctx, jkcaller.URL(server), jkconfigapi.Edit{
		Section: string(d.section), EditID: d.editID, BaseRevision: &s.revision, Team: d.team, Value: value,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%s %s is %s by revision %d\n", d.noun, d.name, state, r.Revision)
	return nil
}

// checkLast refuses to drain the last live host of a zone, because its endpoints
// would have no dispatcher.
func (d *drainCommand) checkLast(s sectionText, state jkconfig.State) error {
	if d.section != jkconfig.SectionHosts || state != jkconfig.StateLeaving || d.last {
		return nil
	}
	zone := s.entries[d.name].text("zone")
	for name, e := range s.entries {
		if name != d.name && e.text("zone") == zone && e.state() == string(jkconfig.StateLive) {
			return nil
		}
	}
	return &jkcommand.UsageError{Detail: fmt.Sprintf(
		"host %s is the last live host of zone %s, whose endpoints would get no work; drain it with --last if that is meant", d.name, zone)}
}

// entryText is one entry with its fields as they were written.
type entryText map[string]json.RawMessage

func (e entryText) text(field string) string {
	var s string
	_ = json.Unmarshal(e[field], &s) // an absent field is empty
	return s
}

func (e entryText) state() string { return e.text("state") }

// sectionText is a section at a revision.
type sectionText struct {
	revision uint64
	owner    string
	entries  map[string]entryText
}

func (s sectionText) names() []string {
	names := make([]string, 0, len(s.entries))
	for name := range s.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// find reads the section from the first server that answers.
func (d *drainCommand) find(ctx context.Context) (string, sectionText, error) {
	var failed error
	for _, server := range d.servers {
		s, err := d.read(ctx, server)
		var silent *jkcommand.NoAnswerError
		if err == nil || !errors.As(err, &silent) {
			return server, s, err
		}
		failed = err
	}
	return "", sectionText{}, failed
}

func (d *drainCommand) read(ctx context.Context, server string) (sectionText, error) {
	doc, err := jkcommand.Document(ctx, jkcaller.URL(server))
	if err != nil {
		return sectionText{}, err
	}
	var value struct {
		Owner   string               `json:"owner"`
		Entries map[string]entryText `json:"entries"`
	}
	text := doc.Sections[string(d.section)].Value
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&value); err != nil {
		return sectionText{}, fmt.Errorf("section %s can't be read: %w", d.section, err)
	}
	return sectionText{revision: doc.Revision, owner: value.Owner, entries: value.Entries}, nil
}

// advise adds to an error what the operator can do.
func (d *drainCommand) advise(err error) error {
	var silent *jkcommand.NoAnswerError
	var p *jkconfigapi.Problem
	again := "run the command again with --edit-id " + d.editID + ", it is applied only once"
	switch {
	case errors.As(err, &silent) && silent.Edit:
		return &jkcommand.AdviceError{Cause: err, Advice: "the edit may have taken effect; " + again}
	case errors.As(err, &silent):
		return &jkcommand.AdviceError{Cause: err, Advice: "check --server or name another daemon"}
	case !errors.As(err, &p):
		return err
	}
	switch p.Type {
	case jkconfigapi.KindUncertain:
		return &jkcommand.AdviceError{Cause: err, Advice: again}
	case jkconfigapi.KindUnavailable:
		return &jkcommand.AdviceError{Cause: err, Advice: "when the platform is back, " + again}
	case jkconfigapi.KindConflict:
		return &jkcommand.AdviceError{Cause: err, Advice: "others edit the section at the same time; run the command again"}
	case jkconfigapi.KindNotOwner:
		return &jkcommand.AdviceError{Cause: err, Advice: "name the owner team by --team, or ask it for the change"}
	}
	return err
}
