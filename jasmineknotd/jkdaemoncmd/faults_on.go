//go:build jkfaults

package jkdaemoncmd

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/core/jkwire"
)

// cutRequest is the body of POST /test/cut.
type cutRequest struct {
	// Hosts are the peers that the daemon is cut off from.
	Hosts []string `json:"hosts"`
	// Platform makes the platform unreachable as well.
	Platform bool `json:"platform"`
}

// registerFaults adds the endpoint by which a process test partitions this daemon
// from its peers and from the platform.
func registerFaults(d *jkdaemon.Daemon, faults *jkwire.Faults) {
	d.Web().POST("/test/cut", func(c echo.Context) error {
		var body cutRequest
		if err := c.Bind(&body); err != nil {
			return err
		}
		faults.SetCut(body.Hosts)
		d.CutPlatform(body.Platform)
		return c.NoContent(http.StatusNoContent)
	})
}
