package jkload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkstandin"
)

// actionLog holds the outcome that the caller received for each action.
type actionLog struct {
	mu       sync.Mutex
	outcomes map[string]map[string]outcome // by service and action id
}

func newActionLog() *actionLog { return &actionLog{outcomes: map[string]map[string]outcome{}} }

func (l *actionLog) record(service, id string, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcomes[service] == nil {
		l.outcomes[service] = map[string]outcome{}
	}
	l.outcomes[service][id] = o
}

// Comparison counts the actions of a run by how the outcome that the caller
// received agrees with the service's account. All fields but the first four count
// faults.
type Comparison struct {
	Actions   int `json:"actions"`
	Ran       int `json:"ran"`
	Unknown   int `json:"unknown"` // the caller received outcome_unknown
	Aborted   int `json:"aborted"` // the run ended before there was an outcome
	RanTwice  int `json:"ran_twice"`
	Lost      int `json:"lost"`         // reported as completed, did not run
	NotRunRan int `json:"not_run_ran"`  // reported as not_run, ran
	NoOutcome int `json:"without_word"` // no attempt returned an outcome
	Unread    int `json:"unread"`       // services whose account could not be read
}

// accountTimeout bounds the time to read the account of one service.
const accountTimeout = 10 * time.Second

// compareAccounts reads the account of each service and checks every action against
// it. It doesn't use the context of the run, so that a run that was cut short is
// checked too.
func (r *Runner) compareAccounts() {
	r.actionLog.mu.Lock()
	defer r.actionLog.mu.Unlock()
	for service, reported := range r.actionLog.outcomes {
		account, err := r.readAccount(r.options.Services[service])
		if err != nil {
			r.recorder.updateComparison(func(c *Comparison) { c.Unread++ })
			r.recorder.addViolation("service %s: %v", service, err)
			continue
		}
		ids := make([]string, 0, len(reported))
		for id := range reported {
			ids = append(ids, id)
		}
		sort.Strings(ids)
		for _, id := range ids {
			r.compareAction(service, id, reported[id], account.Actions[id].Runs)
		}
	}
}

func (r *Runner) compareAction(service, id string, reported outcome, runs int) {
	fault := ""
	r.recorder.updateComparison(func(c *Comparison) {
		c.Actions++
		c.Ran += min(runs, 1)
		switch reported {
		case outcomeUnknown:
			c.Unknown++
		case outcomeAborted:
			c.Aborted++
		}
		switch {
		case runs > 1:
			c.RanTwice++
			fault = fmt.Sprintf("ran %d times", runs)
		case reported == outcomeCompleted && runs == 0:
			c.Lost++
			fault = "did not run"
		case reported == outcomeNotRun && runs > 0:
			c.NotRunRan++
			fault = "ran"
		case reported == outcomeNone:
			c.NoOutcome++
			fault = fmt.Sprintf("ran %d times", runs)
		}
	})
	if fault != "" {
		r.recorder.addViolation("action %s of service %s %s, reported outcome: %s", id, service, fault, reported)
	}
}

func (r *Runner) readAccount(address string) (jkstandin.ServiceAccount, error) {
	var account jkstandin.ServiceAccount
	ctx, cancel := context.WithTimeout(context.Background(), accountTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/account", http.NoBody)
	if err != nil {
		return account, eris.Wrap(err, "build request")
	}
	resp, err := r.caller.http.Do(req)
	if err != nil {
		return account, eris.Wrap(err, "read account")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return account, eris.Wrap(err, "read account")
	}
	if resp.StatusCode != http.StatusOK {
		return account, fmt.Errorf("read account: status %d", resp.StatusCode)
	}
	return account, eris.Wrap(json.Unmarshal(body, &account), "decode account")
}
