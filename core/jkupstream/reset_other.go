//go:build !linux

package jkupstream

import "net"

// isReset reports false where the kernel isn't asked.
func isReset(net.Conn) bool { return false }
