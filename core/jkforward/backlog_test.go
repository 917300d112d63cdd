package jkforward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// smallListener returns a listener with the smallest queue of new connections.
func smallListener(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 1); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	// FileListener may have called listen with another queue.
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Guards against a second run on another endpoint (BUDGET) of a request whose endpoint is at work
// with a full queue of new connections: it doesn't answer them, hasn't ended and isn't cut off.
func TestRequestOfAnEndpointWithAFullQueueRunsThereOnly(t *testing.T) {
	busy := smallListener(t)
	raw, err := busy.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	var ranBusy, ranOther atomic.Int64
	stillAtWork := make(chan struct{})
	go func() {
		c, err := busy.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		ranBusy.Add(1)
		// It accepts nothing else while it works, and its queue fills.
		for range 3 {
			go func() {
				if c, err := net.DialTimeout("tcp", busy.Addr().String(), 100*time.Millisecond); err == nil {
					defer c.Close()
					<-stillAtWork
				}
			}()
		}
		<-stillAtWork
	}()
	defer close(stillAtWork)
	f := newSingleFixture(t)
	f.add("busy", "a", busy.Addr().String())
	other := newStreamEndpoint(t, 0, func() { ranOther.Add(1) })
	go func() {
		time.Sleep(100 * time.Millisecond)
		f.add("other", "a", other.Listener.Addr().String())
	}()
	status := f.send(t)
	if ranBusy.Load() != 1 || ranOther.Load() != 0 {
		t.Errorf("status %d, ran %d times at the first endpoint and %d at the other one, want once and never", status, ranBusy.Load(), ranOther.Load())
	}
}
