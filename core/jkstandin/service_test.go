package jkstandin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkpipe"
	"jasmineknot.example/core/jktimer"
)

// Guards against counts that differ from the runs and responses of the service, and
// against faults that apply to other actions than those selected.
func TestServiceFaults(t *testing.T) {
	// Time passes only while an exchange hangs or the service is slow.
	synctest.Test(t, func(t *testing.T) {
		timer := jktimer.New()
		service := NewService(ServiceOptions{}, timer, jklog.Discard())
		network := jkpipe.NewNetwork()
		open := func(address string) (net.Listener, error) { return network.Listen(address), nil }
		server, err := serveOn(open, "service", service, timer)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = server.Close() }()
		client := jkendpoint.New(jkendpoint.Options{
			Dial: func(ctx context.Context, _, _ string) (net.Conn, error) { return network.Dial(ctx, "service") },
		})
		defer client.Close()
		for i, test := range []struct {
			kind      ServiceFaultKind
			status    int // 0 for no response
			runs, ans int
		}{
			{"", 200, 1, 1},
			{ServiceCloseBeforeRun, 0, 0, 0},
			{ServiceCloseAfterRun, 0, 1, 0},
			{ServiceHangBeforeRun, 0, 0, 0},
			{ServiceHangAfterRun, 0, 1, 0},
			{ServiceSlow, 200, 1, 1},
			{ServiceFail, 500, 0, 0},
		} {
			service.SetFaults(ServiceFaults{Faults: []ServiceFault{{Kind: test.kind, Action: "pay", Every: 2, DelayMS: 5}}})
			for n := 1; n <= 2; n++ { // the fault applies to the second action
				id := fmt.Sprintf("a%d-%d", i, n)
				body, err := json.Marshal(map[string]string{"action_id": id})
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				got, err := client.Service(ctx, server.Address(), jkendpoint.ServiceRequest{Method: "POST", Path: "/actions/pay", Body: body})
				cancel()
				synctest.Wait() // until the service has noticed that the caller left
				var uncertain *jkendpoint.UncertainError
				if n == 1 && (err != nil || got.Status != 200) || n == 2 && got.Status != test.status {
					t.Fatalf("%s %s: got %+v, %v", test.kind, id, got, err)
				}
				if n == 2 && test.status == 0 && !errors.As(err, &uncertain) {
					t.Fatalf("%s: got %v", test.kind, err)
				}
				if a := service.Account().Actions[id]; n == 2 && (a.Runs != test.runs || a.Answered != test.ans) {
					t.Fatalf("%s: account %+v", test.kind, a)
				}
			}
		}
	})
}

// Guards against a hanging tool call that isn't released when its client gives up.
func TestToolHang(t *testing.T) {
	timer := jktimer.New()
	tool := NewTool(ToolOptions{}, timer, jklog.Discard())
	server, err := Serve("127.0.0.1:0", tool, timer)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client := jkendpoint.New(jkendpoint.Options{})
	defer client.Close()
	request := jkendpoint.ServiceRequest{Method: "POST", Path: "/tools/kitchen", Body: []byte(`{"pause_ms":1,"arguments":{"a":1}}`)}
	got, err := client.Service(t.Context(), server.Address(), request)
	if err != nil || got.Status != 200 || !json.Valid(got.Body) {
		t.Fatalf("got %+v, %v", got, err)
	}
	tool.SetFaults(ToolFaults{Hang: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Service(ctx, server.Address(), request); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
	waitFor(t, "hanging call is gone", func() bool {
		a := tool.Account()
		return a.Abandoned == 1 && a.Waiting == 0 && a.ByName["kitchen"] == 2
	})
}
