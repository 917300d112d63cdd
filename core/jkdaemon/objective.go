package jkdaemon

import (
	"fmt"
	"net/http"
	"time"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkobjective"
	"jasmineknot.example/core/jkprogram"
)

// observe records a finished request in the metrics and the objectives. Requests that
// their caller abandoned before the deadline, and client errors other than 429, say nothing
// about the service and don't count towards the objectives.
func (d *Daemon) observe(o jkapi.Observation) {
	d.metrics.observe(o)
	clientError := o.Status >= http.StatusBadRequest && o.Status < http.StatusInternalServerError && o.Status != http.StatusTooManyRequests
	if o.Kind != "chat" || (o.Abandoned && !o.Late) || clientError {
		return
	}
	e := jkobjective.Event{
		Measure: jkconfig.MeasureTurns, Workspace: o.Workspace, Class: d.rules.priorityClass(o.Template), Took: o.Duration,
		Failed: o.Outcome != string(jkprogram.OutcomeCompleted), HasDeadline: o.HasDeadline, Late: o.Late,
	}
	d.objectives.Record(e)
	if !o.Streamed {
		return
	}
	e.Measure, e.Took = jkconfig.MeasureFirstToken, o.FirstToken
	// A stream that fails after its first token has met this objective.
	e.Failed = e.Failed && o.FirstToken == 0
	e.HasDeadline, e.Late = false, false
	d.objectives.Record(e)
}

// programEnded records an ended program in the objectives. Sub-programs are part of their
// parent; programs that were cancelled or that reached their turn limit say nothing about
// the service.
func (d *Daemon) programEnded(e jkprogram.Ended) {
	if e.Meta.Parent != "" || e.Meta.Template == "" || e.Turns == 0 {
		return
	}
	event := jkobjective.Event{
		Measure: jkconfig.MeasureProgram, Workspace: e.Meta.Workspace, Class: d.rules.priorityClass(e.Meta.Template),
		Took: d.programDuration(e), Failed: e.Reason == jkprogram.EndMaxDuration,
	}
	switch e.Reason {
	case jkprogram.EndCompleted, jkprogram.EndIdle, jkprogram.EndMaxDuration:
		d.objectives.Record(event)
	case jkprogram.EndCancelled, jkprogram.EndMaxTurns, jkprogram.EndParent:
	}
}

// programDuration returns the time from a program's creation to its end. A program that
// its caller never finishes ends at its idle limit; its time ends with its last call.
func (d *Daemon) programDuration(e jkprogram.Ended) time.Duration {
	if e.Reason == jkprogram.EndIdle {
		return e.LastActive.Sub(e.Meta.Created)
	}
	return d.options.Timer.Now().Sub(e.Meta.Created)
}

// countObjective counts an event of an objective in the metrics.
func (d *Daemon) countObjective(name string, good bool) {
	series := fmt.Sprintf(`{objective=%q}`, name)
	d.metrics.set.GetOrCreateCounter("jk_objective_events_total" + series).Inc()
	if good {
		d.metrics.set.GetOrCreateCounter("jk_objective_good_total" + series).Inc()
	}
}

// priorityClass returns the priority class of a template; empty if the template is not
// known.
func (r *rules) priorityClass(template string) string {
	p, ok := r.document().Program(template)
	if !ok {
		return ""
	}
	return p.Priority()
}
