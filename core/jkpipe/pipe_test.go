package jkpipe

import (
	"errors"
	"testing"
)

// Guards against a closed listener that still takes connections, and against connections to
// another listener than that of the address.
func TestListenersOfANetwork(t *testing.T) {
	n := NewNetwork()
	a, b := n.Listen("a"), n.Listen("b")
	defer func() { _ = b.Close() }()
	go func() {
		c, err := n.Dial(t.Context(), "b")
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = c.Write([]byte{'b'})
	}()
	c, err := b.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 1)
	if _, err := c.Read(got); err != nil || got[0] != 'b' {
		t.Errorf("read %q, %v", got, err)
	}
	_ = a.Close()
	for _, addr := range []string{"a", "none"} {
		var refused *RefusedError
		if _, err := n.Dial(t.Context(), addr); !errors.As(err, &refused) || refused.Addr != addr {
			t.Errorf("dial of %s: %v, want a refusal", addr, err)
		}
	}
	if _, err := a.Accept(); err == nil {
		t.Error("a closed listener accepts connections")
	}
}
