package jkdemo

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/core/jkstandin"
)

// Guards against a demo that fails on a healthy site, or whose output lacks one of
// its steps.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	if err := Run(context.Background(), Options{Out: &out, Log: jklog.Discard()}); err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	for _, part := range []string{
		"entered through", "endpoint engine-", "budget 200000 tokens", "deposits run 1", "recorded answer", "caches of both programs are released", "all expectations are met",
	} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is missing in\n%s", part, &out)
		}
	}
}

// Guards against a demo that hides a failure: each fault must end it with an error
// that names the failed step.
func TestDemoFails(t *testing.T) {
	tests := map[string]struct {
		prepare func(*jksite.Embedded)
		want    string
	}{
		"service fails": {func(e *jksite.Embedded) {
			for _, s := range e.Services {
				s.SetFaults(jkstandin.ServiceFaults{Faults: []jkstandin.ServiceFault{{Kind: jkstandin.ServiceCloseAfterRun}}})
			}
		}, "deposit through a-2"},
		"engines refuse": {func(e *jksite.Embedded) {
			for _, engine := range e.Engines {
				engine.SetFaults(jkstandin.EngineFaults{Refuse: 400})
			}
		}, "turn 1 through a-2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := Run(context.Background(), Options{Out: &out, Log: jklog.Discard(), Prepare: test.prepare})
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, expected one with %q", err, test.want)
			}
		})
	}
}
