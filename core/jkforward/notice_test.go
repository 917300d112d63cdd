package jkforward

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
)

var noticeStart = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

func newNoticeFleet(host, zone string, hosts []Host) (*Fleet, *jktimer.Manual) {
	timer, clock := jktimer.NewManual(noticeStart)
	opt := jksched.DefaultDirectOptions()
	opt.Zone = zone
	f := NewFleet(host, opt, timer)
	f.SetEndpoint(jksched.Endpoint{ID: "e", Zone: "z1", Kind: jksched.KindService, Service: "s", Slots: 4, State: jksched.StateLive}, "10.0.0.1:80", 1)
	f.SetHosts(hosts)
	return f, clock
}

// Guards against hosts that together send more than an endpoint's limit: the shares of all
// hosts that know each other add up to it, and not more hosts send at once than it has
// requests a second.
func TestSharesOfAllHostsAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []Host
		for i := range rapid.IntRange(1, 90).Draw(t, "hosts") {
			hosts = append(hosts, Host{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "zone"))})
		}
		limit := float64(rapid.IntRange(1, 2000).Draw(t, "limit")) / 10
		sum, sending := 0.0, 0
		for _, h := range hosts {
			f, _ := newNoticeFleet(h.Name, h.Zone, hosts)
			share := f.shareOf("e", limit)
			if sum += share; share > 0 {
				sending++
			}
		}
		if sum > limit*1.000001 || sum < limit*0.999999 {
			t.Fatalf("the shares add up to %g, want %g", sum, limit)
		}
		if sending > max(int(limit), 1) {
			t.Fatalf("%d hosts share a limit of %g", sending, limit)
		}
	})
}

// Guards against limits that are lost or outlive their end: hosts hear of them from each
// other, the latest answer counts, and a restarted endpoint has none.
func TestLatestNoticeCounts(t *testing.T) {
	hosts := []Host{{"a", "z1"}, {"b", "z1"}}
	a, clockA := newNoticeFleet("a", "z1", hosts)
	b, clockB := newNoticeFleet("b", "z1", hosts)
	limitAt := func(f *Fleet, want float64) {
		t.Helper()
		f.mu.Lock()
		defer f.mu.Unlock()
		if got := f.notices["e"].limit; got != want {
			t.Errorf("limit %g, want %g", got, want)
		}
	}
	advance := func() {
		clockA.Advance(time.Second)
		clockB.Advance(time.Second)
	}
	advance()
	if !a.reportNotice("e", 6, false) || a.reportNotice("e", 6, false) {
		t.Error("only the first answer with a limit is news")
	}
	first := a.ExportNotices(8)
	b.MergeNotices(first)
	limitAt(b, 6)
	advance()
	b.reportNotice("e", 0, false)
	b.MergeNotices(first)
	limitAt(b, 0)
	a.MergeNotices(b.ExportNotices(8))
	limitAt(a, 0)
	advance()
	a.reportNotice("e", 3, false)
	a.RemoveEndpoint("e")
	a.SetEndpoint(jksched.Endpoint{ID: "e", Zone: "z1", Service: "s", Slots: 4, State: jksched.StateLive}, "10.0.0.1:80", 1)
	limitAt(a, 3)
	reports := a.ExportNotices(8)
	b.SetEndpoint(jksched.Endpoint{ID: "e", Zone: "z1", Service: "s", Slots: 4, State: jksched.StateLive}, "10.0.0.1:80", 2)
	b.MergeNotices(reports)
	limitAt(b, 0)
}

// Guards against requests to an endpoint that has said that it leaves, on this host or
// another one, while its entry says that it is live: a retry there, an entry that is
// written again or comes back. A restarted endpoint takes requests again (DRAIN).
func TestLeavingOutlivesTheEntry(t *testing.T) {
	hosts := []Host{{"a", "z1"}, {"b", "z1"}}
	a, _ := newNoticeFleet("a", "z1", hosts)
	b, _ := newNoticeFleet("b", "z1", hosts)
	entry := jksched.Endpoint{ID: "e", Zone: "z1", Kind: jksched.KindService, Service: "s", Slots: 4, State: jksched.StateLive}
	takes := func(f *Fleet) bool {
		_, err := f.place(jksched.Call{Kind: jksched.KindService, Service: "s"}, nil)
		_, again := f.reuse(target{id: "e"}, jksched.Call{}, false)
		if (err == nil) != (again == nil) {
			t.Errorf("placed: %v, reused: %v", err, again)
		}
		return err == nil
	}
	if !takes(a) || !takes(b) {
		t.Fatal("a live endpoint takes no requests")
	}
	a.reportNotice("e", 0, true)
	b.MergeNotices(a.ExportNotices(8))
	for _, f := range []*Fleet{a, b} {
		if takes(f) {
			t.Error("a leaving endpoint takes requests")
		}
		f.SetEndpoint(entry, "10.0.0.1:80", 1)
		if takes(f) {
			t.Error("a leaving endpoint takes requests once its entry is written again")
		}
		f.RemoveEndpoint("e")
		f.SetEndpoint(entry, "10.0.0.1:80", 1)
		if takes(f) {
			t.Error("a leaving endpoint takes requests once its entry is back")
		}
		f.SetEndpoint(entry, "10.0.0.1:80", 2)
		if !takes(f) {
			t.Error("a restarted endpoint takes no requests")
		}
	}
}

// Guards against a request that reaches more endpoints than its route allows because the
// last one takes no more requests, or has left the registry while it is at work (BUDGET); one
// that has ended doesn't count.
func TestLastEndpointThatLeavesIsNotReplaced(t *testing.T) {
	timer := jktimer.New()
	f := NewFleet("a", jksched.DefaultDirectOptions(), timer)
	crashes := NewCrashWatch(timer, jklog.Discard())
	dialErr := error(nil)
	crashes.dial = func(context.Context, string) error { return dialErr }
	for id, addr := range map[string]string{"e": "10.0.0.1:80", "other": "10.0.0.2:80"} {
		f.SetEndpoint(jksched.Endpoint{ID: id, Zone: "z1", Kind: jksched.KindService, Service: "s", Slots: 4, State: jksched.StateLive}, addr, 1)
		crashes.SetEndpoint(id, addr, 1)
	}
	h := NewHandler(Options{Fleet: f, Crashes: crashes})
	c := &call{
		attempts: 2, last: target{id: "e", addr: "10.0.0.1:80", zone: "z1"}, sentAt: timer.Now(),
		route:   jkruleset.NewRoute(jkruleset.RouteConfig{Kind: jkruleset.KindIdempotent, MaxAttempts: 2}),
		service: jkruleset.NewService(jkruleset.ServiceConfig{Name: "s"}),
	}
	if to, err := h.chooseEndpoint(c); err != nil || to.id != "e" {
		t.Fatalf("chosen %+v, error %v, want e once more", to, err)
	}
	f.reportNotice("e", 0, true)
	if to, err := h.chooseEndpoint(c); err == nil {
		t.Errorf("chosen %+v after the last endpoint began to leave, want none", to)
	}
	f.RemoveEndpoint("e")
	crashes.RemoveEndpoint("e")
	if to, err := h.chooseEndpoint(c); err == nil {
		t.Errorf("chosen %+v after the entry of the last endpoint was removed, though it accepts connections, want none", to)
	}
	dialErr = os.NewSyscallError("connect", syscall.ECONNREFUSED)
	if to, err := h.chooseEndpoint(c); err != nil || to.id != "other" {
		t.Errorf("chosen %+v, error %v after the last endpoint ended, want the other one", to, err)
	}
}

// Guards against a request that runs on one endpoint more than its route allows since the endpoint
// that runs it doesn't answer connections (BUDGET): it may be frozen or have a full queue. A
// process that refuses connections has ended.
func TestUnansweredConnectionIsNotTakenForAnEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
		want  attemptOutcome
	}{
		{"connections are lost", context.DeadlineExceeded, outcomeUnconnected},
		{"the process has ended", os.NewSyscallError("connect", syscall.ECONNREFUSED), outcomeNotSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, _ := newNoticeFleet("a", "z1", []Host{{"a", "z1"}})
			h := NewHandler(Options{Fleet: f, Timer: f.timer, Log: jklog.Discard()})
			one := &call{
				attempts: 1, mayHaveRunAt: "e", last: target{id: "e", zone: "z1"}, sentAt: f.timer.Now(), request: httptest.NewRequest("POST", "/", nil),
				route: jkruleset.NewRoute(jkruleset.RouteConfig{Kind: jkruleset.KindIdempotent, MaxAttempts: 1}),
			}
			for range 4 {
				got := h.handleSendError(one, context.Background(), "e", &jkupstream.NotSentError{Reason: jkupstream.ReasonUnreachable, Cause: c.cause})
				if excluded := slices.Contains(one.excluded, "e"); got != c.want || excluded != (c.want == outcomeNotSent) {
					t.Errorf("outcome %s, excluded %t, want %s", got, excluded, c.want)
				}
			}
		})
	}
}
