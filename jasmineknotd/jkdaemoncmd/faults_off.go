//go:build !jkfaults

package jkdaemoncmd

import (
	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/core/jkwire"
)

// addFaults does nothing in ordinary builds.
func addFaults(*jkdaemon.Daemon, *jkwire.Faults) {}
