package jkentry

import (
	"net"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// heldPorts occupies the address of a host that doesn't run, so that no other process gets it. It
// closes all connections to the host.
type heldPorts struct {
	inner  *net.TCPListener
	probes *net.UDPConn
	// idle is closed once no connection is taken any more.
	idle chan struct{}
}

// holdPorts occupies a loopback address that is free for messages and for probes.
func holdPorts(t *testing.T) *heldPorts {
	t.Helper()
	for range 20 {
		if h, err := holdPortsAt("127.0.0.1:0"); err == nil {
			t.Cleanup(h.close)
			return h
		}
	}
	t.Fatal("no port is free for messages and for probes")
	return nil
}

func holdPortsAt(addr string) (*heldPorts, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	h := &heldPorts{inner: l.(*net.TCPListener), idle: make(chan struct{})}
	at := l.Addr().(*net.TCPAddr)
	if h.probes, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err != nil {
		_ = l.Close()
		return nil, err
	}
	go h.refuse()
	return h, nil
}

func (h *heldPorts) refuse() {
	defer close(h.idle)
	for {
		conn, err := h.inner.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

func (h *heldPorts) addr() string { return h.inner.Addr().String() }

// close frees the address. It does nothing to sockets that a host has closed.
func (h *heldPorts) close() {
	_ = h.inner.Close()
	_ = h.probes.Close()
}

// handOver returns the open sockets for a host that starts, without the probes that came before.
func (h *heldPorts) handOver(t *testing.T) Listeners {
	t.Helper()
	past := time.Unix(1, 0)
	err := h.inner.SetDeadline(past)
	<-h.idle
	if err == nil {
		err = h.inner.SetDeadline(time.Time{})
	}
	if err != nil {
		t.Fatal(err)
	}
	h.drop(t)
	return Listeners{Inner: h.inner, Probes: h.probes}
}

// drop reads the datagrams that have come.
func (h *heldPorts) drop(t *testing.T) {
	t.Helper()
	if err := h.probes.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for buf := make([]byte, 1); ; {
		if _, err := h.probes.Read(buf); err != nil {
			break
		}
	}
	if err := h.probes.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
}

// listening returns settings with open sockets at new addresses, which no other process can take
// before the host uses them.
func (s Settings) listening(t *testing.T) Settings {
	t.Helper()
	inner := holdPorts(t)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = front.Close() })
	s.Listeners = inner.handOver(t)
	s.Listeners.Front = front
	s.Inner, s.Front = inner.addr(), front.Addr().String()
	return s
}

// Guards against tests that fail because another process takes the address of a host between the
// choice of a free one and the start: it stays taken.
func TestHeldPortsStayTaken(t *testing.T) {
	h := holdPorts(t)
	checkTaken(t, h.addr())
	l := h.handOver(t)
	checkTaken(t, h.addr())
	s, err := NewStorage(Settings{Host: "a", Zone: "a", Inner: h.addr(), Listeners: l, Folder: t.TempDir(), First: true},
		scriptedPlatform(map[string]Change{}), jktimer.New(), jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	checkTaken(t, h.addr())
	stop := make(chan struct{})
	close(stop)
	s.Run(stop)
	again, err := holdPortsAt(h.addr())
	if err != nil {
		t.Fatalf("the address isn't free once the host has stopped: %v", err)
	}
	again.close()
}

func checkTaken(t *testing.T, addr string) {
	t.Helper()
	if l, err := net.Listen("tcp", addr); err == nil {
		_ = l.Close()
		t.Errorf("%s is free for messages", addr)
	}
	if c, err := net.ListenPacket("udp", addr); err == nil {
		_ = c.Close()
		t.Errorf("%s is free for probes", addr)
	}
}
