package jkdispatch

import (
	"context"
	"net"
	"testing"

	"jasmineknot.example/core/jkendpoint"
)

// Guards against calls that count as crashes since their endpoint was silent: it left the
// connection of a check unanswered.
func TestUnansweredCheckIsNotTakenForAnEnd(t *testing.T) {
	client := jkendpoint.New(jkendpoint.Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	j := &job{dispatcher: &Dispatcher{options: Options{Client: client}}}
	if j.hasDied("192.0.2.1:80") {
		t.Error("the endpoint counts as dead")
	}
}
