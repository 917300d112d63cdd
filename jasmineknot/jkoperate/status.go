package jkoperate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/jasmineknot/jkcaller"
)

var errNoAddress = errors.New("its address is not known: it was never heard")

// HostRow is one host of the site.
type HostRow struct {
	jkdaemon.HostStatus
	// Answered reports whether the host itself answered; the figures below are
	// zero otherwise.
	Answered bool   `json:"answered"`
	Revision uint64 `json:"config_revision"`
	Programs int    `json:"programs"`
	Running  int    `json:"running_calls"`
}

// SiteStatus is the result of the status command, which --json prints.
type SiteStatus struct {
	// Source is the host whose status lists the hosts and endpoints shown.
	Source      string                    `json:"source"`
	Hosts       []HostRow                 `json:"hosts"`
	Endpoints   []jkdaemon.EndpointStatus `json:"endpoints"`
	Programs    int                       `json:"programs"`
	Running     int                       `json:"running_calls"`
	Quarantined []string                  `json:"quarantined"`
	Missing     []Missing                 `json:"missing"`
}

func registerStatus(app *kingpin.Application, in io.Reader, out io.Writer) {
	cmd := app.Command("status", "Show the hosts, endpoints and programs of a site.")
	c := newCommand(cmd, in, out)
	c.addJSONFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		s, err := c.status()
		if err != nil {
			return err
		}
		if c.json {
			return c.printJSON(s)
		}
		c.printStatus(s)
		return nil
	})
}

// status merges the answers of all hosts.
func (c *command) status() (SiteStatus, error) {
	status, err := c.fetchStatus()
	if err != nil {
		return SiteStatus{}, err
	}
	answers, missing := c.sendToAll(status, jkcaller.Request{Method: http.MethodGet, Path: "/v1/status"},
		func() any { return &jkdaemon.Status{} })
	statuses := map[string]*jkdaemon.Status{status.Host: &status}
	for _, p := range answers {
		statuses[p.host] = p.body.(*jkdaemon.Status)
	}
	s := SiteStatus{Source: status.Host, Quarantined: status.Quarantined, Missing: missing}
	for _, h := range status.Hosts {
		row := HostRow{HostStatus: h}
		if a := statuses[h.Host]; a != nil {
			row.Answered, row.Revision, row.Programs, row.Running = true, a.Revision, a.Programs, a.Running
			s.Programs += a.Programs
			s.Running += a.Running
		}
		s.Hosts = append(s.Hosts, row)
	}
	for _, e := range status.Endpoints {
		s.Endpoints = append(s.Endpoints, exactStatus(e, statuses[e.Dispatcher]))
	}
	return s, nil
}

// exactStatus returns the dispatcher's own figures of an endpoint if it has them.
// They are exact, whereas the given ones are as old as the last load digest.
func exactStatus(e jkdaemon.EndpointStatus, dispatcher *jkdaemon.Status) jkdaemon.EndpointStatus {
	if dispatcher == nil {
		return e
	}
	for _, exact := range dispatcher.Endpoints {
		if exact.Endpoint == e.Endpoint {
			return exact
		}
	}
	return e
}

func (c *command) printStatus(s SiteStatus) {
	rows := [][]any{{"HOST", "ZONE", "STATE", "STATUS", "DISK", "REVISION", "PROGRAMS", "CALLS"}}
	for _, h := range s.Hosts {
		row := []any{h.Host, h.Zone, h.State, h.Status, yesOrNo(h.Disk)}
		if h.Answered {
			row = append(row, h.Revision, h.Programs, h.Running)
		} else {
			row = append(row, "?", "?", "?")
		}
		rows = append(rows, row)
	}
	c.printTable(rows)
	fmt.Fprintln(c.out)
	rows = [][]any{{"ENDPOINT", "ZONE", "STATE", "DISPATCHER", "RUNNING", "QUEUED", "LIMIT", "TOKEN TIME", "BREAKER"}}
	for _, e := range s.Endpoints {
		rows = append(rows, []any{
			e.Endpoint, e.Zone, e.State, orDash(e.Dispatcher), e.Running, e.Queued, e.Limit,
			time.Duration(e.TokenPace) * time.Microsecond, orDash(e.Breaker),
		})
	}
	c.printTable(rows)
	fmt.Fprintf(c.out, "\n%d programs, ended ones included; %d calls run; %d requests are quarantined\n", s.Programs, s.Running, len(s.Quarantined))
	c.printMissing(s.Missing, len(s.Hosts))
}

// printMissing prints which hosts the figures don't include, and why.
func (c *command) printMissing(missing []Missing, hosts int) {
	if len(missing) == 0 {
		return
	}
	fmt.Fprintf(c.out, "the figures are partial: %d of %d hosts gave no answer\n", len(missing), hosts)
	for _, m := range missing {
		fmt.Fprintf(c.out, "  %s: %s\n", m.Host, m.Reason)
	}
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
