//go:build linux

package jkforward

import (
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"jasmineknot.example/core/jkruleset"
)

// pauseProcess stops all goroutines for a while: the only processor is kept in a system call that the
// scheduler doesn't know of.
func pauseProcess(d time.Duration) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	all, old := ^uint64(0), uint64(0)
	_, _, _ = syscall.RawSyscall6(syscall.SYS_RT_SIGPROCMASK, 2, uintptr(unsafe.Pointer(&all)), uintptr(unsafe.Pointer(&old)), 8, 0, 0)
	ts := syscall.NsecToTimespec(int64(d))
	_, _, _ = syscall.RawSyscall(syscall.SYS_NANOSLEEP, uintptr(unsafe.Pointer(&ts)), 0, 0)
	_, _, _ = syscall.RawSyscall6(syscall.SYS_RT_SIGPROCMASK, 2, uintptr(unsafe.Pointer(&old)), 0, 8, 0, 0)
}

// Guards against a pause of this process that is taken for its endpoint's silence, though the next
// event is there to be read.
func TestPauseOfThisProcessIsNotTakenForSilence(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	f := newKindFixture(t, jkruleset.KindStream, true, 2)
	near := newAcceptingEndpoint(t, func(_ int64, c net.Conn, last string) {
		_, _ = io.WriteString(c, silentHead+silentOne)
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(c, silentTwo)
		pauseProcess(1500 * time.Millisecond)
	})
	far := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) { _, _ = io.WriteString(c, silentHead+silentTwo) })
	f.add("near", "a", near.listener.Addr().String())
	f.add("far", "b", far.listener.Addr().String())
	wantWholeStream(t, f)
	if far.requests.Load() != 0 {
		t.Errorf("the request was sent to another endpoint after a pause of this process")
	}
}
