package jkintake

import (
	"math"

	"golang.org/x/sys/unix"
)

// Parts of the memory of a process for callers. Bodies may take one eighth while they are being read, and one
// sixth together with those that were read and with whole answers. Heads may take one thirty-second:
// net/http needs about three times the bytes that it reads for them.
const (
	readShare  = 8
	heldShare  = 6
	headsShare = 32
	// connsShare is the part of the memory for the connections themselves, each of connBytes.
	connsShare = 3
	connBytes  = 16 << 10
	// filesPercent is the share of the process's open files that connections of callers may take.
	filesPercent = 75
)

// Limits are bounds in bytes; zero means the default.
type Limits struct {
	// Read bounds the bodies that are being read, whose buffers grow.
	Read int64
	// Held bounds the bodies and the whole answers of all requests.
	Held int64
	// Heads bounds the heads that are being read.
	Heads int64
	// Conns bounds the number of connections.
	Conns int
}

// LimitsFor returns the limits of a process with a memory in bytes.
func LimitsFor(memory int64) Limits {
	return Limits{
		Read: memory / readShare, Held: memory / heldShare, Heads: memory / headsShare,
		Conns: int(min(memory/connsShare/connBytes, maxFiles()*filesPercent/100)),
	}
}

// maxFiles returns the number of files that this process may open.
func maxFiles() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int64(limit.Cur)
}
