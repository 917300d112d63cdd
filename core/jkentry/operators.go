package jkentry

import (
	"io"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkintake"
	"jasmineknot.example/core/jktimer"
)

// serveOperators serves operators and the platform on an address, or nothing if it is empty.
func (e *Entry) serveOperators(addr string, handler http.Handler) error {
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	s, l := boundOperators(l, handler, e.settings.MemoryBytes, e.timer, e.metrics)
	e.closers = append(e.closers, func() { _ = s.Close() })
	go e.serve(s, l)
	return nil
}

// operatorHeadsShare is the part of the memory limit that the heads of one listener for operators may take.
const operatorHeadsShare = 128

// boundOperators returns the server and the listener for operators. Others than operators may reach them.
func boundOperators(l net.Listener, handler http.Handler, memoryBytes int64, timer *jktimer.Service, set *metrics.Set) (*http.Server, net.Listener) {
	conns := jkintake.NewConns(timer)
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: jkintake.MaxHead,
		ConnState: conns.Observe,
	}
	return s, conns.Listen(l, jkintake.Limits{Heads: memoryBytes / operatorHeadsShare}, set)
}

// operatorRoutes returns the handler of the readiness check, the metrics, the requests by workspace and
// the explanation of placements.
func (e *Entry) operatorRoutes() http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.GET("/v1/readyz", func(c echo.Context) error {
		if e.Ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	router.GET("/v1/workspaces", func(c echo.Context) error { return c.JSON(http.StatusOK, e.counts.Workspaces()) })
	router.GET(ExplainPath, e.explain)
	router.GET("/metrics", func(c echo.Context) error { return writeMetrics(c, e.metrics) })
	return router
}

// writeMetrics writes a set of metrics and those of the process in Prometheus's text format.
func writeMetrics(c echo.Context, set *metrics.Set) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; charset=utf-8")
	c.Response().WriteHeader(http.StatusOK)
	var out io.Writer = c.Response()
	set.WritePrometheus(out)
	metrics.WriteProcessMetrics(out)
	return nil
}
