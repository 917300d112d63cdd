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

// ledger holds what callers were told about each action.
type ledger struct {
	mu   sync.Mutex
	told map[string]map[string]outcome // by service and action id
}

func newLedger() *ledger { return &ledger{told: map[string]map[string]outcome{}} }

func (l *ledger) tell(service, id string, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told[service] == nil {
		l.told[service] = map[string]outcome{}
	}
	l.told[service][id] = o
}

// Comparison counts the actions of a run and how what callers were told agrees
// with what the services did. All but the first four are faults.
type Comparison struct {
	Actions     int `json:"actions"`
	Ran         int `json:"ran"`
	Unknown     int `json:"unknown"` // callers were told that the outcome is unknown
	Aborted     int `json:"aborted"` // the run ended before there was an outcome
	RanTwice    int `json:"ran_twice"`
	Lost        int `json:"lost"`         // told completed, did not run
	NotRunRan   int `json:"not_run_ran"`  // told not_run, ran
	WithoutWord int `json:"without_word"` // no attempt brought an outcome
	Unread      int `json:"unread"`       // services whose account could not be read
}

// accountTimeout bounds the time to read one account.
const accountTimeout = 10 * time.Second

// compare reads the account of each service and checks every action. It runs
// after the run's own time, so that a run that was cut short is checked too.
func (r *Runner) compare() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	for service, told := range r.ledger.told {
		account, err := r.readAccount(r.options.Services[service])
		if err != nil {
			r.report.compared(func(c *Comparison) { c.Unread++ })
			r.report.violate("service %s: %v", service, err)
			continue
		}
		ids := make([]string, 0, len(told))
		for id := range told {
			ids = append(ids, id)
		}
		sort.Strings(ids)
		for _, id := range ids {
			r.compareAction(service, id, told[id], account.Actions[id].Runs)
		}
	}
}

func (r *Runner) compareAction(service, id string, told outcome, runs int) {
	fault := ""
	r.report.compared(func(c *Comparison) {
		c.Actions++
		c.Ran += min(runs, 1)
		switch told {
		case outcomeUnknown:
			c.Unknown++
		case outcomeAborted:
			c.Aborted++
		}
		switch {
		case runs > 1:
			c.RanTwice++
			fault = fmt.Sprintf("ran %d times", runs)
		case told == outcomeCompleted && runs == 0:
			c.Lost++
			fault = "did not run"
		case told == outcomeNotRun && runs > 0:
			c.NotRunRan++
			fault = "ran"
		case told == outcomeNone:
			c.WithoutWord++
			fault = fmt.Sprintf("ran %d times", runs)
		}
	})
	if fault != "" {
		r.report.violate("action %s of %s %s, the caller was told: %s", id, service, fault, told)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return account, eris.Wrap(err, "read account")
	}
	if resp.StatusCode != http.StatusOK {
		return account, fmt.Errorf("read account: status %d", resp.StatusCode)
	}
	return account, eris.Wrap(json.Unmarshal(body, &account), "decode account")
}
