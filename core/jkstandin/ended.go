package jkstandin

import (
	"fmt"
	"os"
	"syscall"
)

// Ended stands in for an endpoint that has ended: its address refuses connections, and nothing else
// can listen there before Close.
type Ended struct {
	socket int
	addr   string
}

// NewEnded returns an ended endpoint at a loopback address. A TCP socket that is bound and doesn't
// listen refuses connections and keeps the port.
func NewEnded() (*Ended, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	e := &Ended{socket: socket}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		_ = e.Close()
		return nil, os.NewSyscallError("bind", err)
	}
	at, err := syscall.Getsockname(socket)
	if err != nil {
		_ = e.Close()
		return nil, os.NewSyscallError("getsockname", err)
	}
	e.addr = fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	return e, nil
}

// Addr returns the address that refuses connections.
func (e *Ended) Addr() string { return e.addr }

// Close frees the address.
func (e *Ended) Close() error { return os.NewSyscallError("close", syscall.Close(e.socket)) }
