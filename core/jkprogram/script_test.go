package jkprogram

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"jasmineknot.example/core/jktoken"
)

// script runs the commands of a testdata file on two homes, a and b.
type script struct {
	now    time.Time
	homes  map[string]*Core
	tokens map[string]jktoken.Claims
}

// Guards against changes of what callers see for each kind of request. Each testdata
// file holds one conversation.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1000, 0), homes: map[string]*Core{}, tokens: map[string]jktoken.Claims{}}
		for _, name := range []string{"a", "b"} {
			s.homes[name] = New(Options{Self: jktoken.Incarnation{Host: name, Start: 1}, MaxPrograms: 4, EndedRetention: time.Minute})
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	name := "a"
	d.MaybeScanArgs(t, "home", &name)
	home := s.homes[name]
	switch d.Cmd {
	case "create":
		var budget, idle, turns int
		parent, id := "", "p"
		d.MaybeScanArgs(t, "budget", &budget)
		d.MaybeScanArgs(t, "idle", &idle)
		d.MaybeScanArgs(t, "turns", &turns)
		d.MaybeScanArgs(t, "parent", &parent)
		d.MaybeScanArgs(t, "id", &id)
		_, err := home.Create(s.now, Creation{Program: id, Meta: Meta{
			Budget: int64(budget), Parent: parent, Limits: Limits{IdleLimit: time.Duration(idle) * time.Second, MaxTurns: uint64(turns)},
		}})
		return s.result(home, id, err)
	case "submit":
		return s.submit(t, d, home)
	case "recorded":
		result := "recorded"
		d.MaybeScanArgs(t, "result", &result)
		return s.result(home, "p", home.HandleWriteResult("p", CopyResult(result)))
	case "refuse":
		if r := home.Refuse("p"); r != nil {
			return fmt.Sprintf("record %s\n", r.Kind) + s.result(home, "p", nil)
		}
		return s.result(home, "p", nil)
	case "complete":
		outcome, cost := string(OutcomeCompleted), 0
		var messages string
		d.MaybeScanArgs(t, "outcome", &outcome)
		d.MaybeScanArgs(t, "cost", &cost)
		d.MaybeScanArgs(t, "messages", &messages)
		r := Result{Outcome: Outcome(outcome), Cost: int64(cost)}
		if messages != "" {
			r.Messages = strings.Split(messages, "/")
		}
		_, _, err := home.Complete(s.now, "p", r)
		return s.result(home, "p", err)
	case "save":
		var token string
		d.ScanArgs(t, "token", &token)
		claims, err := home.Claims("p")
		s.tokens[token] = claims
		return s.result(home, "p", err)
	case "move":
		how := "adopt"
		d.MaybeScanArgs(t, "how", &how)
		state, _ := s.homes["a"].State("p")
		var err error
		if how == "adopt" {
			skipped := 0
			d.MaybeScanArgs(t, "skipped", &skipped)
			_, err = home.Adopt(s.now, state, state.Epoch+1+uint64(skipped))
		} else {
			_, err = home.AcceptHandover(s.now, state)
		}
		return s.result(home, "p", err)
	case "pass":
		var seconds int
		d.ScanArgs(t, "seconds", &seconds)
		s.now = s.now.Add(time.Duration(seconds) * time.Second)
		return fmt.Sprintf("%v\n", home.Tick(s.now))
	case "end":
		ended, err := home.End(s.now, "p", EndCancelled)
		return fmt.Sprintf("ended %d\n", len(ended)) + s.result(home, "p", err)
	}
	return "unknown command\n"
}

func (s *script) submit(t *testing.T, d *datadriven.TestData, home *Core) string {
	var id, token, messages string
	cost := 0
	d.ScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "token", &token)
	d.MaybeScanArgs(t, "cost", &cost)
	d.MaybeScanArgs(t, "messages", &messages)
	sub := Submission{Program: "p", RequestID: id, Kind: KindService, Repeatable: d.HasArg("repeatable"), Claimed: d.HasArg("claimed"), MaxCost: int64(cost)}
	if token != "" {
		c := s.tokens[token]
		sub.Token = &c
	}
	if messages != "" {
		sub.Kind = KindModel
		sub.Messages = strings.Split(messages, "/")
	}
	a, err := home.Submit(s.now, sub)
	if err != nil {
		return s.result(home, "p", err)
	}
	out := string(a.Action)
	if a.Record != nil {
		out += fmt.Sprintf(" after %s granted=%d", a.Record.Kind, a.Record.Granted)
	}
	if a.Turn != nil {
		out += fmt.Sprintf(" turn=%d outcome=%s", a.Turn.Number, a.Turn.Outcome)
	}
	return out + "\n"
}

// result formats the innermost error, or the program's summary.
func (s *script) result(home *Core, id string, err error) string {
	if err != nil {
		return fmt.Sprintf("error: %v\n", unwrap(err))
	}
	i, _ := home.Info(id)
	out := fmt.Sprintf("epoch=%d turn=%d granted=%d spent=%d", i.Epoch, i.Turn, i.Granted, i.Spent)
	if i.Running != "" {
		out += " running=" + i.Running
	}
	if i.End != "" {
		out += " end=" + string(i.End)
	}
	return out + "\n"
}

func unwrap(err error) error {
	for {
		u, ok := err.(interface{ Unwrap() error })
		if !ok || u.Unwrap() == nil {
			return err
		}
		err = u.Unwrap()
	}
}
