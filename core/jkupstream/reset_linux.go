package jkupstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state TCP_CLOSE of the kernel, which a reset leads to. A connection whose peer has
// ended only its own direction is in TCP_CLOSE_WAIT.
const tcpClose = 7

// isReset reports whether a connection was reset, as far as the kernel tells.
func isReset(c net.Conn) bool {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	state := uint8(0)
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err == nil && state == tcpClose
}
