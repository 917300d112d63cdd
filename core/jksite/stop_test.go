package jksite

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
)

// lateCall is one call of a program on a connection that was opened before a planned stop.
type lateCall struct {
	conn     net.Conn
	action   string
	id       string
	token    string
	at       time.Duration
	deadline time.Duration
}

// send sends the call and returns the status and the outcome of the whole response, or zero
// without one.
func (c *lateCall) send() (status int, outcome string) {
	body := fmt.Sprintf(`{"action_id":%q}`, c.id)
	_, err := fmt.Fprintf(c.conn, "POST /v1/services/%s/actions/%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Program-Token: %s\r\nX-Deadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		Service, c.action, c.id, c.token, c.deadline.Milliseconds(), len(body), body)
	if err != nil {
		return 0, ""
	}
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, resp.Header.Get("X-Outcome")
}

// Guards against calls that a stopping daemon takes, runs and cuts without a response at the
// end of its drain time, and against refusals of calls that have run.
func TestCallsLateInAPlannedStop(t *testing.T) {
	t.Parallel()
	// The slow calls outlast the drain time.
	const drain, slow = 2 * time.Second, 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	site, err := StartEmbedded(ctx, EmbeddedOptions{
		Zones: []string{"a"}, HostsPerZone: 2, Engine: jkstandin.DefaultEngineOptions(),
		Log: jklog.New(os.Stderr, time.Now).Allow("error"), Intervals: map[string]string{"drain": drain.String()},
	})
	defer site.Stop(ctx)
	if err != nil {
		t.Fatal(err)
	}
	service := site.Services[0]
	service.SetFaults(jkstandin.ServiceFaults{Faults: []jkstandin.ServiceFault{{Kind: jkstandin.ServiceSlow, Action: "book", DelayMS: int(slow.Milliseconds())}}})
	stopping := site.Daemons[0]
	var calls []*lateCall
	for at := -100 * time.Millisecond; at < drain; at += 100 * time.Millisecond {
		for action, deadline := range map[string]time.Duration{"charge": 500 * time.Millisecond, "book": 10 * time.Second} {
			// Each program has one call, and its home is the host that stays.
			created := send(t, "POST", "http://"+site.Daemons[1].HTTP()+"/v1/programs", nil, map[string]string{"workspace": "w", "template": Template})
			calls = append(calls, &lateCall{
				action: action, id: fmt.Sprintf("%s-at-%s", action, at), token: created.header.Get("X-Program-Token"), at: at, deadline: deadline,
			})
		}
	}
	for _, c := range calls {
		if c.conn, err = net.Dial("tcp", stopping.HTTP()); err != nil {
			t.Fatal(err)
		}
		defer c.conn.Close()
	}
	began := time.Now().Add(100 * time.Millisecond)
	type result struct {
		call    *lateCall
		status  int
		outcome string
	}
	results := make(chan result, len(calls))
	for _, c := range calls {
		go func() {
			time.Sleep(time.Until(began.Add(c.at)))
			status, outcome := c.send()
			results <- result{c, status, outcome}
		}()
	}
	time.Sleep(time.Until(began))
	stopping.Stop()
	if took := time.Since(began); took > drain+2*time.Second {
		t.Errorf("the stop took %s", took)
	}
	// Work that the service has begun ends in any case.
	time.Sleep(time.Until(began.Add(drain + slow)))
	for range calls {
		r := <-results
		c, runs := r.call, service.Account().Actions[r.call.id].Runs
		switch {
		case r.status == 0 && (runs > 0 || c.at < drain-200*time.Millisecond):
			t.Errorf("%s: %d runs and no response", c.id, runs)
		case r.outcome == "not_run" && runs > 0:
			t.Errorf("%s: status %d, not run, after %d runs", c.id, r.status, runs)
		case r.status != http.StatusOK && c.action == "charge" && c.at < 0:
			t.Errorf("%s: status %d before the stop", c.id, r.status)
		}
	}
}
