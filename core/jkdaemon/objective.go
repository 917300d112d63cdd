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

// observe counts a finished request for the metrics and the objectives. A
// request that its caller gave up, or that was wrong by itself, says nothing
// about the service.
func (d *Daemon) observe(o jkapi.Observation) {
	d.metrics.observe(o)
	wrong := o.Status >= http.StatusBadRequest && o.Status < http.StatusInternalServerError && o.Status != http.StatusTooManyRequests
	if o.Kind != "chat" || (o.Abandoned && !o.Late) || wrong {
		return
	}
	e := jkobjective.Event{
		Measure: jkconfig.MeasureTurns, Workspace: o.Workspace, Class: d.rules.class(o.Template), Took: o.Duration,
		Failed: o.Outcome != string(jkprogram.OutcomeCompleted), HasDeadline: o.HasDeadline, Late: o.Late,
	}
	d.objectives.Record(e)
	if !o.Streamed {
		return
	}
	e.Measure, e.Took = jkconfig.MeasureFirstToken, o.FirstToken
	// A stream that breaks off after its first token has met this objective.
	e.Failed = e.Failed && o.FirstToken == 0
	e.HasDeadline, e.Late = false, false
	d.objectives.Record(e)
}

// programEnded counts a whole program. Sub-programs are part of their parent;
// programs that were cancelled or that looped say nothing about the service.
func (d *Daemon) programEnded(e jkprogram.Ended) {
	if e.Meta.Parent != "" || e.Meta.Template == "" || e.Turns == 0 {
		return
	}
	event := jkobjective.Event{
		Measure: jkconfig.MeasureProgram, Workspace: e.Meta.Workspace, Class: d.rules.class(e.Meta.Template),
		Took: d.programTime(e), Failed: e.Reason == jkprogram.EndMaxDuration,
	}
	switch e.Reason {
	case jkprogram.EndCompleted, jkprogram.EndIdle, jkprogram.EndMaxDuration:
		d.objectives.Record(event)
	case jkprogram.EndCancelled, jkprogram.EndMaxTurns, jkprogram.EndParent:
	}
}

// programTime is the time from a program's creation to its end. A caller that
// never finishes its programs was served when the last call ended.
func (d *Daemon) programTime(e jkprogram.Ended) time.Duration {
	if e.Reason == jkprogram.EndIdle {
		return e.LastActive.Sub(e.Meta.Created)
	}
	return d.options.Timer.Now().Sub(e.Meta.Created)
}

func (d *Daemon) countObjective(name string, good bool) {
	series := fmt.Sprintf(`{objective=%q}`, name)
	d.metrics.set.GetOrCreateCounter("jk_objective_events_total" + series).Inc()
	if good {
		d.metrics.set.GetOrCreateCounter("jk_objective_good_total" + series).Inc()
	}
}

// class returns the priority class of a template; empty if it is not known.
func (r *rules) class(template string) string {
	p, ok := r.document().Program(template)
	if !ok {
		return ""
	}
	return p.Priority()
}
