package jkoperate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jkcontrol"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/jasmineknot/jkcaller"
	"jasmineknot.example/jasmineknot/jkcommand"
)

// orderCommand sends an engine an order, such as to load a model, through the
// controller of its zone.
type orderCommand struct {
	*command
	endpoint string
	body     orderBody
}

// orderBody is the JSON body of an order.
type orderBody struct {
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Force   bool   `json:"force,omitempty"`
}

// registerLoad adds load and unload to the endpoint command.
func registerLoad(parent *kingpin.CmdClause, c *command, names func() []string) {
	o := &orderCommand{command: c}
	load := parent.Command("load", "Have an engine load a model or an adapter, or take a role.")
	unload := parent.Command("unload", "Have an engine unload a model or an adapter.")
	for _, cmd := range []*kingpin.CmdClause{load, unload} {
		cmd.Arg("endpoint", "Name of the engine in the configuration.").Required().HintAction(names).StringVar(&o.endpoint)
		cmd.Flag("model", "Model to load or unload.").StringVar(&o.body.Model)
		cmd.Flag("adapter", "Adapter to load or unload.").StringVar(&o.body.Adapter)
	}
	load.Flag("version", "Version of the model.").StringVar(&o.body.Version)
	load.Flag("role", "Role to take.").StringVar(&o.body.Role)
	unload.Flag("force", "Unload the last ready replica of a model in use as well.").BoolVar(&o.body.Force)
	load.Action(func(*kingpin.ParseContext) error { return o.sendOrder("load") })
	unload.Action(func(*kingpin.ParseContext) error { return o.sendOrder("unload") })
}

func (o *orderCommand) sendOrder(verb string) error {
	path := "/v1/endpoints/" + url.PathEscape(o.endpoint) + "/" + verb
	if err := o.sendToAny(jkcaller.Request{Method: http.MethodPost, Path: path, Body: o.body}, nil); err != nil {
		return adviseOrder(err)
	}
	fmt.Fprintf(o.out, "endpoint %s: the %s waits for its turn; see jasmineknot orders show\n", o.endpoint, verb)
	return nil
}

func registerOrders(app *kingpin.Application, in io.Reader, out io.Writer) {
	cmd := app.Command("orders", "Show the orders to a zone's engines and resume halted rollouts.")
	c := newCommand(cmd, in, out)
	zone := cmd.Flag("zone", "Zone of the engines; that of the daemon by default.").String()
	show := cmd.Command("show", "Show the controller of a zone and its rollouts.")
	c.addJSONFlag(show)
	show.Action(func(*kingpin.ParseContext) error { return c.requestOrders(http.MethodGet, "", *zone) })
	resume := cmd.Command("resume", "Go on with a halted rollout.")
	model := resume.Arg("model", "Model whose rollout has halted.").Required().String()
	resume.Action(func(*kingpin.ParseContext) error {
		return c.requestOrders(http.MethodPost, "/"+url.PathEscape(*model)+"/resume", *zone)
	})
}

func (c *command) requestOrders(method, action, zone string) error {
	var s jkcontrol.Status
	path := "/v1/orders" + action + "?zone=" + url.QueryEscape(zone)
	if err := c.sendToAny(jkcaller.Request{Method: method, Path: path}, &s); err != nil {
		return adviseOrder(err)
	}
	if c.json {
		return c.printJSON(s)
	}
	fmt.Fprintf(c.out, "zone %s: controller %s, fencing token %d, %d engines load\n", s.Zone, s.Holder, s.Token, s.Loading)
	if s.UncheckedWait > 0 {
		fmt.Fprintf(c.out, "engines that don't check tokens get orders in %v\n", time.Duration(s.UncheckedWait)*time.Millisecond)
	}
	rows := [][]any{{"MODEL", "VERSION", "PHASE", "ENGINE", "REASON"}}
	for _, r := range s.Rollouts {
		rows = append(rows, []any{r.Model, r.Version, r.Phase, orDash(r.Engine), orDash(r.Reason)})
	}
	c.printTable(rows)
	return nil
}

// adviseOrder adds to a problem what the operator can do.
func adviseOrder(err error) error {
	var p *jkproblem.Problem
	if errors.As(err, &p) && p.Type == jkproblem.TypeUnavailable {
		return &jkcommand.AdviceError{Cause: err, Advice: "the zone has no controller now; check the platform and limits.model_loads of its hosts"}
	}
	return err
}
