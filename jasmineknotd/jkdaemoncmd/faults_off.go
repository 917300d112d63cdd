//go:build !jkfaults

package jkdaemoncmd

import (
	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/core/jkwire"
)

// registerFaults does nothing in builds without the tag jkfaults.
func registerFaults(*jkdaemon.Daemon, *jkwire.Faults) {}
