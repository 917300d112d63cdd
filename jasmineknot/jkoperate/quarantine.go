package jkoperate

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/jasmineknot/jkcaller"
	"jasmineknot.example/jasmineknot/jkcommand"
)

const quarantinePath = "/v1/quarantine"

// QuarantineRow is one request content that has crashed endpoints.
type QuarantineRow struct {
	jkdaemon.SuspectStatus
	// Hosts are the hosts that have recorded crashes of this content.
	Hosts []string `json:"hosts"`
}

// QuarantineList is the result of quarantine list, which --json prints.
type QuarantineList struct {
	Suspects []QuarantineRow `json:"suspects"`
	Missing  []Missing       `json:"missing"`
}

func registerQuarantine(app *kingpin.Application, in io.Reader, out io.Writer) {
	cmd := app.Command("quarantine", "Show and lift the quarantine of requests that crash endpoints.")
	c := newCommand(cmd, in, out)
	list := cmd.Command("list", "Show the requests that have crashed endpoints.")
	c.addJSONFlag(list)
	list.Action(func(*kingpin.ParseContext) error { return c.quarantineList() })
	lift := cmd.Command("lift", "Let a request run again, at every host.")
	fingerprint := lift.Arg("fingerprint", "Fingerprint of the request's content, from quarantine list.").Required().String()
	lift.Action(func(*kingpin.ParseContext) error { return c.quarantineLift(*fingerprint) })
}

func (c *command) quarantineList() error {
	status, err := c.fetchStatus()
	if err != nil {
		return err
	}
	answers, missing := c.sendToAll(status, jkcaller.Request{Method: http.MethodGet, Path: quarantinePath},
		func() any { return &jkdaemon.QuarantineStatus{} })
	list := QuarantineList{Suspects: mergeSuspects(answers), Missing: missing}
	if c.json {
		return c.printJSON(list)
	}
	rows := [][]any{{"FINGERPRINT", "CRASHES", "LAST CRASH", "QUARANTINED", "HOSTS"}}
	for _, s := range list.Suspects {
		rows = append(rows, []any{s.Fingerprint, s.Crashes, fmt.Sprint(time.Duration(s.Age)*time.Second, " ago"), yesOrNo(s.Quarantined), len(s.Hosts)})
	}
	c.printTable(rows)
	c.printMissing(missing, len(status.Hosts))
	return nil
}

// mergeSuspects merges the hosts' records of each content: the highest crash count,
// the latest crash, and quarantined if any host has it quarantined.
func mergeSuspects(answers []hostAnswer) []QuarantineRow {
	rows := map[string]*QuarantineRow{}
	for _, p := range answers {
		for _, s := range p.body.(*jkdaemon.QuarantineStatus).Suspects {
			r := rows[s.Fingerprint]
			if r == nil {
				r = &QuarantineRow{SuspectStatus: s}
				rows[s.Fingerprint] = r
			}
			r.Crashes = max(r.Crashes, s.Crashes)
			r.Age = min(r.Age, s.Age)
			r.Quarantined = r.Quarantined || s.Quarantined
			r.Hosts = append(r.Hosts, p.host)
		}
	}
	sorted := make([]QuarantineRow, 0, len(rows))
	for _, r := range rows {
		sorted = append(sorted, *r)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Fingerprint < sorted[j].Fingerprint })
	return sorted
}

func (c *command) quarantineLift(fingerprint string) error {
	status, err := c.fetchStatus()
	if err != nil {
		return err
	}
	answers, missing := c.sendToAll(status, jkcaller.Request{Method: http.MethodDelete, Path: quarantinePath + "/" + url.PathEscape(fingerprint)},
		func() any { return &jkdaemon.LiftResult{} })
	knownBy := 0
	for _, p := range answers {
		if p.body.(*jkdaemon.LiftResult).Known {
			knownBy++
		}
	}
	fmt.Fprintf(c.out, "%s is lifted at %d of %d hosts, %d of them knew it\n", fingerprint, len(answers), len(status.Hosts), knownBy)
	if len(missing) > 0 {
		c.printMissing(missing, len(status.Hosts))
		return &jkcommand.AdviceError{
			Cause:  fmt.Errorf("the quarantine is not lifted at %d hosts", len(missing)),
			Advice: "they go on refusing the request; run the command again when they answer",
		}
	}
	if knownBy == 0 {
		return &jkcommand.UsageError{Detail: "no host knows this fingerprint; see quarantine list"}
	}
	return nil
}
