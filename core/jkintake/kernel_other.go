//go:build !linux

package jkintake

import "net"

// hasUnread reports false where the kernel isn't asked.
func hasUnread(net.Conn) bool { return false }

// hasUnsent reports false where the kernel isn't asked.
func hasUnsent(net.Conn) bool { return false }

// HasUnaccepted reports false where the kernel isn't asked.
func HasUnaccepted(net.Listener) bool { return false }

// acknowledged reports that nothing is known where the kernel isn't asked.
func acknowledged(net.Conn) (n uint64, known bool) { return 0, false }
