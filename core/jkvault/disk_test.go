package jkvault

import (
	"context"
	"testing"
	"time"

	"jasmineknot.example/core/jkledger"
)

// Guards against a lost disk that passes for the former one, and against one that gets another name in a restart.
func TestDiskKeepsItsNameUntilItIsLost(t *testing.T) {
	a := start(t, memoryFolder(t), true)
	name := a.vault.Disk()
	var answer jkledger.ReserveAnswer
	request := &jkledger.ReserveRequest{Spending: jkledger.Spending{Program: "p", Request: "r", Tokens: 1, Retention: time.Minute}}
	if err := a.vault.Pool.Call(context.Background(), a.addr, jkledger.TypeReserve, request, &answer); err != nil {
		t.Fatal(err)
	}
	a.stop()
	again, emptied := start(t, a.folder, false), start(t, memoryFolder(t), false)
	if name == "" || answer.Disk != name || again.vault.Disk() != name || emptied.vault.Disk() == name {
		t.Errorf("disk %q answers as %q, is %q after a restart and %q once it is lost", name, answer.Disk, again.vault.Disk(), emptied.vault.Disk())
	}
}
