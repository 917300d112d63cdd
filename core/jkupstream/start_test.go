package jkupstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"jasmineknot.example/core/jktimer"
)

// Guards against requests that reach another start of an endpoint than the one that they are meant for,
// on new and idle connections, and against endpoints that are asked for their start more than once on one.
func TestRequestReachesTheStartThatItIsMeantFor(t *testing.T) {
	var born, reports, runs atomic.Int64
	var status, closes, endless atomic.Int64
	status.Store(http.StatusOK)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/report" {
			runs.Add(1)
			_, _ = io.WriteString(w, "ran")
			return
		}
		reports.Add(1)
		if closes.Load() > 0 {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(int(status.Load()))
		for endless.Load() > 0 && r.Context().Err() == nil {
			_, _ = w.Write(make([]byte, 64<<10))
		}
		_, _ = io.WriteString(w, strconv.FormatInt(born.Load(), 10))
	}))
	defer server.Close()
	pool := NewPool(DefaultOptions(), jktimer.New(), func() {})
	send := func(want int64) error {
		resp, err := pool.Send(t.Context(), Request{
			Addr: server.Listener.Addr().String(), Method: http.MethodPost, Target: "/run", Host: "h", Repeatable: true,
			Accept: func(http.Header) bool { return true },
			Start: &Start{Born: want, Target: "/report", Decode: func(report []byte) (int64, bool) {
				born, err := strconv.ParseInt(string(report), 10, 64)
				return born, err == nil
			}},
		})
		if err != nil {
			return err
		}
		defer resp.Close()
		_, err = resp.ReadAll(t.Context())
		return err
	}
	check := func(what string, err error, want Reason, wantReports, wantRuns int64) {
		t.Helper()
		var notSent *NotSentError
		if errors.As(err, &notSent); want == "" && err != nil || want != "" && (notSent == nil || notSent.Reason != want) {
			t.Errorf("%s: error is %v, want reason %q", what, err, want)
		}
		if reports.Swap(0) != wantReports || runs.Swap(0) != wantRuns {
			t.Errorf("%s: not %d reports and %d runs", what, wantReports, wantRuns)
		}
	}
	born.Store(1)
	check("new connection", errors.Join(send(1), send(1), send(1)), "", 1, 3)
	born.Store(2)
	server.CloseClientConnections()
	check("started again before its entry changes", send(1), ReasonOtherStart, 1, 0)
	check("its entry has changed", send(2), "", 1, 1)
	born.Store(3)
	check("idle connection to the start before", send(3), "", 1, 1)
	server.CloseClientConnections()
	closes.Store(1)
	check("closes the connection after the report", send(3), ReasonUnknownStart, 1, 0)
	closes.Store(0)
	endless.Store(1)
	check("reports without end", send(3), ReasonUnknownStart, 1, 0)
	endless.Store(0)
	status.Store(http.StatusNotFound)
	check("reports nothing", errors.Join(send(3), send(3)), "", 1, 2)
}

// Guards against a stream that reaches another start of an endpoint which was too busy to report it: only
// one that has no report is taken for the start that the registry names.
func TestRefusedReportNamesNoStart(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError} {
		var runs atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/report" {
				w.WriteHeader(status)
				return
			}
			runs.Add(1)
		}))
		pool := NewPool(DefaultOptions(), jktimer.New(), func() {})
		_, err := pool.Send(t.Context(), Request{
			Addr: server.Listener.Addr().String(), Method: http.MethodPost, Target: "/run", Host: "h", Repeatable: true,
			Accept: func(http.Header) bool { return true },
			Start:  &Start{Born: 1, Target: "/report", Decode: func([]byte) (int64, bool) { return 0, false }},
		})
		var notSent *NotSentError
		if !errors.As(err, &notSent) || notSent.Reason != ReasonUnknownStart || runs.Load() > 0 {
			t.Errorf("report answered with %d: error is %v, %d runs, want reason %q and none", status, err, runs.Load(), ReasonUnknownStart)
		}
		server.Close()
	}
}

// Guards against a late answer to an earlier request that is taken for the report of an endpoint, which
// then counts as one that reports no start.
func TestLateAnswerIsNotTakenForAReport(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var runs atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.URL.Path == "/report" {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 2\r\n\r\nok")
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
						continue
					}
					runs.Add(1)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	pool := NewPool(DefaultOptions(), jktimer.New(), func() {})
	resp, err := pool.Send(t.Context(), Request{
		Addr: l.Addr().String(), Method: http.MethodPost, Target: "/run", Host: "h", Repeatable: true,
		Accept: func(h http.Header) bool { return h.Get("Id") == "own" },
		Start: &Start{Born: 1, Target: "/report", Decode: func(report []byte) (int64, bool) {
			born, err := strconv.ParseInt(string(report), 10, 64)
			return born, err == nil
		}, IsOther: func(h http.Header) bool { return h.Get("Id") != "" }},
	})
	if err == nil {
		defer resp.Close()
	}
	var notSent *NotSentError
	if !errors.As(err, &notSent) || runs.Load() > 0 {
		t.Errorf("error is %v, %d runs at start 2, want none: the request is meant for start 1", err, runs.Load())
	}
}
