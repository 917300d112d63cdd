package jkupstream

import (
	"context"
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"jasmineknot.example/core/jktimer"
)

// Guards against connections that end while a sound endpoint is silent: a user timeout ends them
// with the first byte, or keep-alive probe, that isn't acknowledged for so long.
func TestConnectionsHaveNoUserTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	pool := NewPool(DefaultOptions(), jktimer.New(), func() {})
	c, err := pool.acquire(context.Background(), l.Addr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.discard(c)
	raw, err := c.nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) {
		timeout, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if err != nil || timeout != 0 {
			t.Errorf("user timeout is %d ms, error %v, want none", timeout, err)
		}
	})
}
