package jkwire

import "time"

// deadline returns the absolute time that net.Conn deadlines need. It always
// uses the operating system's clock, because the kernel compares against it.
func deadline(d time.Duration) time.Time { return time.Now().Add(d) }
