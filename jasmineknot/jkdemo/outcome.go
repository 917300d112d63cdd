package jkdemo

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/jasmineknot/jkcaller"
)

// stoppedHost is the index of the host that is stopped gracefully, the program's home.
const stoppedHost = 0

// deposit sends the same deposit twice, through two hosts, and stops the program's
// home in between. It checks that the retry gets the recorded answer, that the
// program has moved to a new home, and that the deposit ran once.
func (r *demoRun) deposit() error {
	before, err := r.fetchProgram(1, r.main.program)
	if err != nil {
		return err
	}
	first, err := r.charge(1)
	if err != nil {
		return fmt.Errorf("deposit through %s: %w", r.hostName(1), err)
	}
	r.printf("deposit %s is charged through %s", depositID, r.hostName(1))
	r.site.Daemons[stoppedHost].Stop()
	r.printf("host %s, the program's home, is stopped by plan", r.hostName(stoppedHost))
	again, err := r.charge(2)
	if err != nil {
		return fmt.Errorf("deposit again through %s: %w", r.hostName(2), err)
	}
	if string(first.Body) != string(again.Body) {
		return fmt.Errorf("the retry of the deposit got the answer %s, expected the first answer %s", again.Body, first.Body)
	}
	if again.Header.Get(jkapi.HeaderReplayed) != "true" {
		return errors.New("the retry of the deposit got an answer that is not marked as recorded")
	}
	r.printf("the same deposit through %s got the recorded answer", r.hostName(2))
	r.main.token = again.Header.Get(jkapi.HeaderToken)
	after, err := r.fetchProgram(2, r.main.program)
	if err != nil {
		return err
	}
	if after.Epoch <= before.Epoch || after.Home == before.Home {
		return fmt.Errorf("the home is %s at epoch %d, expected one after %s at epoch %d", after.Home, after.Epoch, before.Home, before.Epoch)
	}
	return r.checkDeposits()
}

func (r *demoRun) charge(host int) (jkcaller.Response, error) {
	header := map[string]string{jkapi.HeaderToken: r.main.token, jkapi.HeaderRequest: "pay-" + r.main.program}
	return r.send(http.MethodPost, host, "/v1/services/"+jksite.Service+"/actions/charge", header, map[string]string{"action_id": depositID})
}

func (r *demoRun) checkDeposits() error {
	runs := 0
	for _, s := range r.site.Services {
		runs += s.Account().Actions[depositID].Runs
	}
	if runs != 1 {
		return fmt.Errorf("the deposit ran %d times, expected once", runs)
	}
	return nil
}

func (r *demoRun) fetchProgram(host int, program string) (jkapi.Program, error) {
	var p jkapi.Program
	a, err := r.send(http.MethodGet, host, "/v1/programs/"+program, nil, nil)
	if err != nil {
		return p, fmt.Errorf("show program %s: %w", program, err)
	}
	return p, json.Unmarshal(a.Body, &p)
}

// checkHistory prints the endpoint and cost of each turn, and checks the number of
// turns and that cost <= spent <= granted <= budget.
func (r *demoRun) checkHistory() error {
	p, err := r.fetchProgram(2, r.main.program)
	if err != nil {
		return err
	}
	var cost int64
	for _, t := range p.Turns {
		r.printf("  turn %d: %s call, %s, endpoint %s, %d tokens", t.Number, t.Kind, t.Outcome, t.Endpoint, t.Cost)
		cost += t.Cost
	}
	r.printf("  home %s (epoch %d), copies %v", p.Home, p.Epoch, p.Copies)
	r.printf("  budget %d tokens, granted %d, spent %d; deposits run 1", p.Budget, p.Granted, p.Spent)
	switch {
	case len(p.Turns) != r.main.turns+1:
		return fmt.Errorf("the history has %d turns, expected %d", len(p.Turns), r.main.turns+1)
	case cost > p.Spent || p.Spent > p.Granted || p.Granted > p.Budget:
		return fmt.Errorf("the turns cost %d, spent %d, granted %d, budget %d; expected cost <= spent <= granted <= budget", cost, p.Spent, p.Granted, p.Budget)
	}
	return nil
}

// finish ends the program and waits until no engine holds cache of it or of its
// sub-program.
func (r *demoRun) finish() error {
	_, err := r.send(http.MethodPost, 3, "/v1/programs/"+r.main.program+"/finish", map[string]string{jkapi.HeaderToken: r.main.token}, nil)
	if err != nil {
		return fmt.Errorf("finish the program: %w", err)
	}
	ended := r.site.Timer.Now()
	for {
		holder, err := r.cacheHolder()
		if err != nil {
			return err
		}
		took := r.site.Timer.Now().Sub(ended)
		if holder == "" {
			r.printf("caches of both programs are released %v after the end", took.Round(releasePollInterval))
			return nil
		}
		if took > releaseTimeout || !r.site.Timer.Wait(releasePollInterval, r.ctx.Done()) {
			return fmt.Errorf("%s still holds a cache %v after the program's end", holder, took)
		}
	}
}

// cacheHolder returns the id of an engine that holds cache of the program or of its
// sub-program, or "" if none does.
func (r *demoRun) cacheHolder() (string, error) {
	for _, e := range r.site.Site.Endpoints {
		if e.Service != "" {
			continue
		}
		for _, program := range []string{r.main.program, r.sub.program} {
			a, err := jkcaller.Send(r.ctx, jkcaller.Request{Method: http.MethodGet, Server: e.Address, Path: "/kv/" + program})
			if err != nil {
				return "", err
			}
			if a.Status != http.StatusNotFound {
				return e.ID, nil
			}
		}
	}
	return "", nil
}
