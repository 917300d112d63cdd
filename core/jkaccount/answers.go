package jkaccount

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"jasmineknot.example/core/jkledger"
)

// answerLog describes what the copies answered to one operation, for log lines.
type answerLog struct {
	client *Client
	began  time.Time

	mu      sync.Mutex
	answers map[string]string
}

func newAnswerLog(c *Client) *answerLog {
	return &answerLog{client: c, began: c.Timer.Now(), answers: map[string]string{}}
}

// add notes the answer of a host. The last one counts.
func (l *answerLog) add(host, answer string) {
	took := l.client.Timer.Now().Sub(l.began)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[host] = fmt.Sprintf("%s after=%s", answer, took.Round(time.Millisecond))
}

// describe returns the answer of each copy with what this host has observed of its host.
func (l *answerLog) describe(copies []Copy) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, target := range copies {
		answer, ok := l.answers[target.Host]
		if !ok {
			answer = "none"
		}
		out = append(out, fmt.Sprintf("%s=%s %s", target.Host, answer, l.client.Observed(target.Host)))
	}
	return strings.Join(out, ", ")
}

func describeReserveAnswer(a *jkledger.ReserveAnswer) string {
	switch {
	case !a.Certain:
		return "uncertain"
	case a.Behind:
		return "behind"
	}
	return "certain"
}

func describeFailure(err error) string { return fmt.Sprintf("failed (%v)", err) }
