package jkintake

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether the kernel holds bytes of a connection that the process hasn't read.
func hasUnread(c net.Conn) bool {
	return askKernel(c, func(fd int) bool {
		n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err == nil && n > 0
	})
}

// hasUnsent reports whether the peer of a connection hasn't acknowledged all bytes.
func hasUnsent(c net.Conn) bool {
	return askKernel(c, func(fd int) bool {
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err == nil && n > 0
	})
}

// HasUnaccepted reports whether the kernel holds connections that the process hasn't accepted.
func HasUnaccepted(l net.Listener) bool {
	return askKernel(l, func(fd int) bool {
		// For a socket that listens this is the number of connections in the queue.
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err == nil && info.Unacked > 0
	})
}

// acknowledged returns the number of bytes that the peer's machine has taken.
func acknowledged(c net.Conn) (n uint64, known bool) {
	known = askKernel(c, func(fd int) bool {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n = info.Bytes_acked
		}
		return err == nil
	})
	return n, known
}

// askKernel calls a function with the descriptor of a socket, and reports false where there is none.
func askKernel(socket any, ask func(fd int) bool) (answer bool) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) { answer = ask(int(fd)) })
	return err == nil && answer
}
