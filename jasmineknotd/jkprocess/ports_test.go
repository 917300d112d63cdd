package jkprocess

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
)

// holdPort returns a loopback address of which no other program gets the port while the test runs. A host can listen there
// again and again: a socket that is only bound doesn't keep one from it that asks for the very address, and the kernel
// chooses the port for nobody.
func holdPort(t *testing.T) string {
	t.Helper()
	fd, err := bind(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// bind returns a TCP socket at a port, or at one that the kernel chooses. Options are set before that, each at
// the level of IP.
func bind(port int, options ...[2]int) (fd int, err error) {
	// A program that is started must not inherit it.
	syscall.ForkLock.RLock()
	if fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0); err == nil {
		syscall.CloseOnExec(fd)
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		return 0, err
	}
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	for _, o := range options {
		err = errors.Join(err, syscall.SetsockoptInt(fd, syscall.IPPROTO_IP, o[0], o[1]))
	}
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		_ = syscall.Close(fd)
		return 0, err
	}
	return fd, nil
}

// localPortRange is IP_LOCAL_PORT_RANGE of Linux 6.3.
const localPortRange = 51

// Guards against a host that can't listen again since another program got its port while it was down.
func TestHeldPortIsKeptForItsHost(t *testing.T) {
	addr := holdPort(t)
	_, text, _ := net.SplitHostPort(addr)
	port, err := net.LookupPort("tcp", text)
	if err != nil {
		t.Fatal(err)
	}
	// The kernel may choose this port only.
	only := [2]int{localPortRange, port<<16 | port}
	for range 3 {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		fd, err := bind(0, only)
		if errors.Is(err, syscall.ENOPROTOOPT) {
			t.Skip("the kernel has no range of ports for one socket")
		}
		if err == nil {
			_ = syscall.Close(fd)
			t.Fatal("another program got the port")
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatal(err)
		}
	}
}
