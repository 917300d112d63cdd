package main

import (
	"fmt"
	"strings"
	"time"
)

// turnTokens is the most that one turn generates, as in the site files: 20 events.
const turnTokens = 20 * eventTokens

// turnLimit is the time limit of a turn in the sheets.
const turnLimit = 3 * time.Second

// agent is an agent program of one line of turns.
type agent struct {
	id      string
	session string
	budget  int
	// last is the turn that the next one continues, and answeredAt when it was answered whole.
	last       string
	answeredAt time.Time
	// history holds what the server of the next turn has to get before its input.
	history strings.Builder
	turns   int
	// lineBreaks is set if the servers let the data of each event begin with a line break.
	lineBreaks bool
	// tokens is the number of tokens that were handed to the client.
	tokens int
}

func newAgent(budget int) *agent { return &agent{id: newID(), session: newID(), budget: budget} }

// turn sends one attempt of the program's next turn.
func (a *agent) turn(rec *record, entry *process) result {
	input := fmt.Sprintf("input %d of program %s\n", a.turns+1, a.id)
	return a.send(rec, entry, input, turnTokens)
}

// send sends one attempt of a turn that generates tokens.
func (a *agent) send(rec *record, entry *process, input string, tokens int) result {
	header := map[string]string{
		"X-Program-Id": a.id, "X-Session-Id": a.session, "X-Program-Deadline-Ms": "60000", "X-Model": "m",
		"X-Token-Budget": fmt.Sprint(a.budget), "X-Token-Usage": fmt.Sprintf("1840,%d", tokens),
		"X-Prompt-Prefix": "5c1e07a2:800," + a.session + ":1040",
	}
	if a.last != "" {
		header["X-Previous-Turn"] = a.last
	}
	r := attempt(rec, entry, "POST", pathTurns+"2f", header, input, turnLimit)
	a.tokens += r.events * eventTokens
	if r.status == 200 && r.whole && r.events == tokens/eventTokens {
		a.history.WriteString(input)
		for n := 1; n <= r.events; n++ {
			a.history.WriteString(eventData(r.id, n, a.lineBreaks) + "\n")
		}
		a.last, a.answeredAt = r.id, time.Now()
		a.turns++
	}
	return r
}
