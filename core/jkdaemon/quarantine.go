package jkdaemon

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"
)

// SuspectStatus describes a request, by the fingerprint of its content, that has crashed
// endpoints.
type SuspectStatus struct {
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
	// Age is the time since the last crash in seconds.
	Age         int64 `json:"age_s"`
	Quarantined bool  `json:"quarantined"`
}

// QuarantineStatus is the response of GET /v1/quarantine.
type QuarantineStatus struct {
	Host     string          `json:"host"`
	Suspects []SuspectStatus `json:"suspects"`
}

// LiftResult is the response to lifting a quarantine. Known is false if this host had no
// record of a crash; either way it ignores later reports of earlier crashes.
type LiftResult struct {
	Host  string `json:"host"`
	Known bool   `json:"known"`
}

func (d *Daemon) quarantine(c echo.Context) error {
	s := QuarantineStatus{Host: d.settings.Host(), Suspects: []SuspectStatus{}}
	refused := d.gossip.Quarantined()
	for _, suspect := range d.gossip.Suspects() {
		s.Suspects = append(s.Suspects, SuspectStatus{
			Fingerprint: suspect.Fingerprint, Crashes: suspect.Crashes, Age: int64(suspect.Age.Seconds()),
			Quarantined: slices.Contains(refused, suspect.Fingerprint),
		})
	}
	return c.JSON(http.StatusOK, s)
}

// liftQuarantine lifts a quarantine at this host only: the operator's command calls every
// host, so that none keeps refusing the request unnoticed.
func (d *Daemon) liftQuarantine(c echo.Context) error {
	fingerprint := c.Param("fingerprint")
	known := d.gossip.Lift(fingerprint)
	d.log.Part("member").Info("quarantine is lifted", "fingerprint", fingerprint, "known", known)
	return c.JSON(http.StatusOK, LiftResult{Host: d.settings.Host(), Known: known})
}
