package jkentry

import (
	"testing"
	"time"
)

// Guards against a loss that isn't kept on all hosts of a zone since some started shortly before it: after a final
// fault copies without their disks would wait for the host that is gone.
func TestLossIsKeptByHostsThatStartedShortlyBeforeIt(t *testing.T) {
	t.Parallel()
	f := newRecoveryFixture(t, 2, "a-1", "a-2", "b-1", "b-2", "c-1")
	settings, running := map[string]Settings{}, map[string]runningStorage{}
	for host := range f.entries {
		settings[host] = f.source(host)
	}
	for _, host := range []string{"a-1", "b-1", "b-2", "c-1"} {
		running[host] = f.run(settings[host])
	}
	// A loss is confirmed for a host whose zone was in reach for some seconds before.
	time.Sleep(5 * time.Second)
	running["a-2"] = f.run(settings["a-2"])
	eventually(t, "answer of b-1", func() bool {
		last, _ := running["a-2"].probes.LastAnswer("b-1")
		return !last.IsZero()
	})
	running["b-1"].stop()
	f.hold("b-1", settings["b-1"].Inner)
	for _, host := range []string{"a-1", "a-2", "c-1"} {
		awaitLoss(t, running[host], "b-1")
	}
}
