//go:build !linux

package jktimer

import "time"

var started = time.Now()

// uptime returns the time since the start of the process. It doesn't count suspensions, so that a
// revocation bound isn't kept over them on these systems.
func uptime() time.Duration { return time.Since(started) }
