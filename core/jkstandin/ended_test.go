package jkstandin

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Guards against tests of an ended endpoint that meet a listener which was given its port.
func TestEndedKeepsItsPort(t *testing.T) {
	e, err := NewEnded()
	if err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp", e.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connection to %s: %v, %v, want a refusal", e.Addr(), conn, err)
	}
	if l, err := net.Listen("tcp", e.Addr()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listen at %s: %v, %v, want an address in use", e.Addr(), l, err)
	}
	if err := e.Close(); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", e.Addr())
	if err != nil {
		t.Fatalf("the port isn't free again: %v", err)
	}
	_ = l.Close()
}
