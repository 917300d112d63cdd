//go:build jkfaults

package jkdaemoncmd

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/core/jkwire"
)

// cut is the body of POST /test/cut.
type cut struct {
	Hosts []string `json:"hosts"`
	// Platform cuts the daemon off from the platform too.
	Platform bool `json:"platform"`
}

// addFaults lets a process test cut this daemon off from others.
func addFaults(d *jkdaemon.Daemon, faults *jkwire.Faults) {
	d.Web().POST("/test/cut", func(c echo.Context) error {
		var body cut
		if err := c.Bind(&body); err != nil {
			return err
		}
		faults.SetCut(body.Hosts)
		d.CutPlatform(body.Platform)
		return c.NoContent(http.StatusNoContent)
	})
}
