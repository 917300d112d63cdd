package jksched

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// script runs the commands of a testdata file against one queue and one placer.
type script struct {
	queue  *Queue
	placer *Placer
	now    time.Time
}

var start = time.Unix(1000, 0)

func testOptions() Options {
	opt := DefaultOptions()
	opt.Rand = rand.New(rand.NewPCG(1, 1))
	opt.Zone = "z1"
	opt.Delay = func(from, to string) time.Duration {
		if from == to {
			return 0
		}
		return 2 * time.Millisecond
	}
	return opt
}

// Guards against unintended changes of order, admission, hold, breaker and placement.
// Each script covers one decision.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{queue: NewQueue(testOptions()), placer: NewPlacer(testOptions()), now: start}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.now = start.Add(time.Duration(arg(t, d, "at", 0)) * time.Millisecond)
	name := text(t, d, "id", "")
	endpoint := text(t, d, "endpoint", "e1")
	switch d.Cmd {
	case "endpoint":
		e := Endpoint{
			ID: name, Zone: text(t, d, "zone", "z1"), Kind: KindModel, Models: []string{"m"},
			Slots: arg(t, d, "slots", 1), CacheTokens: int64(arg(t, d, "cache", 0)),
			State: State(text(t, d, "state", "live")),
		}
		s.queue.SetEndpoint(e)
		s.placer.SetEndpoint(e)
	case "push":
		return problem(s.queue.Push(s.now, scriptCall(t, d), endpoint))
	case "place":
		p, err := s.placer.Place(s.now, scriptCall(t, d))
		if err != nil {
			return problem(err)
		}
		return fmt.Sprintf("%s wait=%s then %s\n", p.Endpoint, p.PredictedWait, strings.Join(p.Alternatives, " "))
	case "load":
		l := Load{
			Endpoint: name, Model: "m", At: s.now, Running: arg(t, d, "running", 0), Limit: arg(t, d, "limit", 32),
			PredictedWait: time.Duration(arg(t, d, "wait", 0)) * time.Millisecond, Breaker: Breaker(text(t, d, "breaker", "closed")),
			CurrentPace: time.Duration(arg(t, d, "pace", 0)) * time.Millisecond,
		}
		if hot := text(t, d, "hot", ""); hot != "" {
			l.HotPrefixes = []Segment{{Hash: hot, Tokens: 2000}}
		}
		s.placer.SetLoad(l)
		s.queue.SetLoad(l)
	case "tokens":
		s.queue.Tokens(s.now, name, endpoint, int64(arg(t, d, "n", 1)))
	case "finish":
		r := Result{Outcome: OutcomeCompleted, Generated: int64(arg(t, d, "n", 1)), ToolCalls: d.HasArg("tools")}
		if d.HasArg("fault") {
			r.Outcome, r.EndpointFault = OutcomeFailed, true
		}
		s.queue.Finished(s.now, name, endpoint, r)
		s.placer.Finished(scriptCall(t, d), endpoint, r)
	case "cancel":
		s.queue.Cancel(s.now, name, "")
	case "end":
		s.queue.ProgramEnded(s.now, name)
	case "tick":
		return s.tick()
	case "loads":
		return s.loads()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func (s *script) tick() string {
	var out strings.Builder
	for _, c := range s.queue.Tick(s.now) {
		what := c.Call.ID
		if c.Kind == CommandReleaseCache {
			what = c.Call.Program
		}
		fmt.Fprintln(&out, strings.TrimSpace(fmt.Sprintf("%s %s %s %s", c.Kind, what, c.Endpoint, c.Reason)))
	}
	return out.String()
}

func (s *script) loads() string {
	var out strings.Builder
	for _, l := range s.queue.Loads(s.now) {
		fmt.Fprintf(&out, "%s running=%d queued=%d limit=%d %s\n", l.Endpoint, l.Running, l.Queued, l.Limit, l.Breaker)
	}
	return out.String()
}

func scriptCall(t *testing.T, d *datadriven.TestData) Call {
	c := Call{
		ID: text(t, d, "id", ""), Program: text(t, d, "program", text(t, d, "id", "")), Workspace: "w",
		Kind: KindModel, Model: text(t, d, "model", "m"), Repeatable: !d.HasArg("once"),
		PromptTokens: int64(arg(t, d, "prompt", 100)), MaxTokens: int64(arg(t, d, "max", 100)),
		Attained: int64(arg(t, d, "attained", 0)), Priority: arg(t, d, "priority", 0),
		ParentWaiting: d.HasArg("parent"),
	}
	if shared := text(t, d, "shared", ""); shared != "" {
		c.Prefix = []Segment{{Hash: shared, Tokens: 2000}}
	}
	if ms := arg(t, d, "deadline", 0); ms > 0 {
		c.Deadline = start.Add(time.Duration(ms) * time.Millisecond)
	}
	return c
}

func problem(err error) string {
	var r *RefusedError
	if errors.As(err, &r) {
		return fmt.Sprintf("refused: %s, retry after %s\n", r.Reason, r.RetryAfter)
	}
	return ""
}

func arg(t *testing.T, d *datadriven.TestData, key string, value int) int {
	d.MaybeScanArgs(t, key, &value)
	return value
}

func text(t *testing.T, d *datadriven.TestData, key, value string) string {
	d.MaybeScanArgs(t, key, &value)
	return value
}
