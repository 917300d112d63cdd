package jkdaemon

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"
)

// SuspectStatus is a request content that has crashed endpoints.
type SuspectStatus struct {
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
	// Age is the time since the last crash in seconds.
	Age         int64 `json:"age_s"`
	Quarantined bool  `json:"quarantined"`
}

// QuarantineStatus is the answer of /v1/quarantine.
type QuarantineStatus struct {
	Host     string          `json:"host"`
	Suspects []SuspectStatus `json:"suspects"`
}

// LiftResult is the answer to the lift of a quarantine. Known is false if this
// host knew of no crash; it ignores news of earlier ones either way.
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

// liftQuarantine lifts a quarantine at this host only: the operator's command
// asks every host, so that none can go on refusing unnoticed.
func (d *Daemon) liftQuarantine(c echo.Context) error {
	fingerprint := c.Param("fingerprint")
	known := d.gossip.Lift(fingerprint)
	d.log.Part("member").Info("quarantine is lifted", "fingerprint", fingerprint, "known", known)
	return c.JSON(http.StatusOK, LiftResult{Host: d.settings.Host(), Known: known})
}
