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

// maxEditAttempts bounds the attempts of an edit that conflicts with concurrent
// edits of the same section.
const maxEditAttempts = 5

// drainCommand drains or undrains one endpoint or host, by an edit of its state in
// the configuration.
type drainCommand struct {
	*command
	section jkconfig.Section
	// kind is what messages call an entry: endpoint or host.
	kind   string
	name   string
	team   string
	editID string
	last   bool
}

func registerEndpoint(app *kingpin.Application, in io.Reader, out io.Writer) {
	cmd := app.Command("endpoint", "Drain endpoints, take them back and give them orders.")
	d := &drainCommand{command: newCommand(cmd, in, out), section: jkconfig.SectionEndpoints, kind: "endpoint"}
	d.register(cmd, "Give an endpoint no new work; running calls go on.", "Give an endpoint new work again.")
	registerLoad(cmd, d.command, d.completeNames)
}

func registerHost(app *kingpin.Application, in io.Reader, out io.Writer) {
	cmd := app.Command("host", "Drain entry hosts and take them back.")
	d := &drainCommand{command: newCommand(cmd, in, out), section: jkconfig.SectionHosts, kind: "host"}
	drain := d.register(cmd, "Give a host no new copies, endpoints and programs; its programs go on.", "Take a host back.")
	drain.Flag("last", "Drain the host even if its zone has no other live one.").BoolVar(&d.last)
}

// register adds the commands drain and undrain, and returns drain.
func (d *drainCommand) register(parent *kingpin.CmdClause, drainHelp, undrainHelp string) *kingpin.CmdClause {
	drain := parent.Command("drain", drainHelp)
	undrain := parent.Command("undrain", undrainHelp)
	for cmd, state := range map[*kingpin.CmdClause]jkconfig.State{drain: jkconfig.StateLeaving, undrain: jkconfig.StateLive} {
		cmd.Arg("name", "Name of the "+d.kind+" in the configuration.").Required().HintAction(d.completeNames).StringVar(&d.name)
		cmd.Flag("team", "Team that makes the edit.").Envar("JASMINEKNOT_TEAM").Required().StringVar(&d.team)
		cmd.Flag("edit-id", "Id of an edit that is sent again; a new one by default.").StringVar(&d.editID)
		cmd.Action(func(*kingpin.ParseContext) error { return d.setState(state) })
	}
	return drain
}

// completionTimeout bounds the time that a shell waits for completions.
const completionTimeout = time.Second

// completeNames returns the entries' names for completion in the shell, or none if
// no daemon answers. Flags are not parsed at that time, so only the environment can
// name the daemon.
func (d *drainCommand) completeNames() []string {
	server := os.Getenv(serverVariable)
	if server == "" {
		server = defaultServer
	}
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
	defer cancel()
	s, err := d.readSection(ctx, server)
	if err != nil {
		return nil
	}
	return s.entryNames()
}

// setState edits the state. A conflict means that the section was edited by others
// and this edit was not applied, so it is retried on the section's new value.
func (d *drainCommand) setState(state jkconfig.State) error {
	if d.editID == "" {
		d.editID = uuid.NewString()
	}
	for attempt := 1; ; attempt++ {
		err := d.trySetState(state)
		var p *jkconfigapi.Problem
		if attempt == maxEditAttempts || !errors.As(err, &p) || p.Type != jkconfigapi.KindConflict {
			return d.advise(err)
		}
	}
}

func (d *drainCommand) trySetState(state jkconfig.State) error {
	ctx, cancel := d.requestContext()
	defer cancel()
	server, s, err := d.findSection(ctx)
	if err != nil {
		return err
	}
	entry, ok := s.entries[d.name]
	if !ok {
		return &jkcommand.UsageError{Detail: fmt.Sprintf("%s %q is not in the configuration, the names are %s", d.kind, d.name, strings.Join(s.entryNames(), ", "))}
	}
	if entry.state() == string(state) {
		fmt.Fprintf(d.out, "%s %s is %s already at revision %d\n", d.kind, d.name, state, s.revision)
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
	fmt.Fprintf(d.out, "%s %s is %s by revision %d\n", d.kind, d.name, state, r.Revision)
	return nil
}

// checkLast refuses to drain the last live host of a zone without --last, because
// the zone's endpoints would have no dispatcher.
func (d *drainCommand) checkLast(s rawSection, state jkconfig.State) error {
	if d.section != jkconfig.SectionHosts || state != jkconfig.StateLeaving || d.last {
		return nil
	}
	zone := s.entries[d.name].stringField("zone")
	for name, e := range s.entries {
		if name != d.name && e.stringField("zone") == zone && e.state() == string(jkconfig.StateLive) {
			return nil
		}
	}
	return &jkcommand.UsageError{Detail: fmt.Sprintf(
		"host %s is the last live host of zone %s, whose endpoints would get no work; drain it with --last if that is meant", d.name, zone)}
}

// rawEntry holds the undecoded fields of an entry, so that an edit preserves them.
type rawEntry map[string]json.RawMessage

func (e rawEntry) stringField(field string) string {
	var s string
	_ = json.Unmarshal(e[field], &s) // an absent field is empty
	return s
}

func (e rawEntry) state() string { return e.stringField("state") }

// rawSection is a section with undecoded entries, at a revision of the document.
type rawSection struct {
	revision uint64
	owner    string
	entries  map[string]rawEntry
}

func (s rawSection) entryNames() []string {
	names := make([]string, 0, len(s.entries))
	for name := range s.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// findSection reads the section from the first server that answers, and returns
// that server as well.
func (d *drainCommand) findSection(ctx context.Context) (string, rawSection, error) {
	var failed error
	for _, server := range d.servers {
		s, err := d.readSection(ctx, server)
		var noAnswer *jkcommand.NoAnswerError
		if err == nil || !errors.As(err, &noAnswer) {
			return server, s, err
		}
		failed = err
	}
	return "", rawSection{}, failed
}

func (d *drainCommand) readSection(ctx context.Context, server string) (rawSection, error) {
	doc, err := jkcommand.FetchDocument(ctx, jkcaller.URL(server))
	if err != nil {
		return rawSection{}, err
	}
	var value struct {
		Owner   string              `json:"owner"`
		Entries map[string]rawEntry `json:"entries"`
	}
	text := doc.Sections[string(d.section)].Value
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&value); err != nil {
		return rawSection{}, fmt.Errorf("section %s can't be decoded: %w", d.section, err)
	}
	return rawSection{revision: doc.Revision, owner: value.Owner, entries: value.Entries}, nil
}

// advise adds to an error what the operator can do.
func (d *drainCommand) advise(err error) error {
	var noAnswer *jkcommand.NoAnswerError
	var p *jkconfigapi.Problem
	resendAdvice := "run the command again with --edit-id " + d.editID + ", it is applied only once"
	switch {
	case errors.As(err, &noAnswer) && noAnswer.Edit:
		return &jkcommand.AdviceError{Cause: err, Advice: "the edit may have taken effect; " + resendAdvice}
	case errors.As(err, &noAnswer):
		return &jkcommand.AdviceError{Cause: err, Advice: "check --server or name another daemon"}
	case !errors.As(err, &p):
		return err
	}
	switch p.Type {
	case jkconfigapi.KindUncertain:
		return &jkcommand.AdviceError{Cause: err, Advice: resendAdvice}
	case jkconfigapi.KindUnavailable:
		return &jkcommand.AdviceError{Cause: err, Advice: "when the platform is back, " + resendAdvice}
	case jkconfigapi.KindConflict:
		return &jkcommand.AdviceError{Cause: err, Advice: "others edit the section at the same time; run the command again"}
	case jkconfigapi.KindNotOwner:
		return &jkcommand.AdviceError{Cause: err, Advice: "name the owner team by --team, or ask it for the change"}
	}
	return err
}
