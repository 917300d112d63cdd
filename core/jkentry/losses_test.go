package jkentry

import (
	"slices"
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

// Guards against a loss that counts as harmless although this host lacks what the lost one may have recorded, and against
// one that it contests without having seen anything that contradicts it.
func TestLossesAreJudgedByWhatWasCopied(t *testing.T) {
	const (
		confirmed, copied, returned = "confirmed", "copied", "returned"
		unobserved, contested       = "unobserved", "contested"
		contestedForTurns           = "contested for turns"
	)
	for _, c := range []struct {
		name, host, seen string
		// silences are those of the host before; true stands for one of this process.
		silences []bool
		copied   bool
		// said is set if the host's last answer was that others have its reservations.
		said bool
		want string
	}{
		{name: "calm", host: "b-1", seen: confirmed, want: confirmed},
		{name: "silent before", host: "b-1", seen: confirmed, silences: []bool{false}, want: contested},
		{name: "silent before, copied", host: "b-1", seen: confirmed, silences: []bool{false}, copied: true, want: confirmed},
		{name: "paused before", host: "b-1", seen: confirmed, silences: []bool{true}, want: unobserved},
		{name: "paused after a silence", host: "b-1", seen: confirmed, silences: []bool{false, true}, want: contested},
		{name: "silent shortly before", host: "b-1", seen: returned, silences: []bool{false}, want: contested},
		{name: "silent shortly before, copied", host: "b-1", seen: returned, silences: []bool{false}, copied: true, want: copied},
		{name: "silent shortly before, own zone", host: "a-2", seen: returned, silences: []bool{false}, want: unobserved},
		{name: "paused shortly before", host: "b-1", seen: unobserved, silences: []bool{true}, want: unobserved},
		{name: "paused shortly before, silent before", host: "b-1", seen: unobserved, silences: []bool{false, true}, want: contested},
		{name: "paused shortly before, replicated", host: "b-1", seen: unobserved, silences: []bool{false}, said: true, want: contestedForTurns},
		{name: "paused shortly before, silent then, replicated", host: "b-1", seen: unobserved, silences: []bool{true}, said: true, want: unobserved},
		{name: "silent shortly before, replicated", host: "b-1", seen: returned, silences: []bool{false}, said: true, want: contested},
		{name: "out of reach, replicated", host: "b-1", silences: []bool{false}, said: true, want: contested},
		{name: "started shortly before", host: "b-1", seen: unobserved, want: unobserved},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCopySources("a", 3)
			s.add(HostEntry{Host: c.host, Zone: c.host[:1]}, false)
			for _, isOwn := range c.silences {
				s.returned(c.host, time.Unix(1000, 0), isOwn)
			}
			if c.copied {
				s.copied(c.host, s.begin())
			}
			seen := map[string][]string{c.seen: {c.host}}
			var said []string
			if c.said {
				said = []string{c.host}
			}
			got, judged := contested, s.judge(seen[confirmed], seen[returned], seen[unobserved], said)
			if slices.Contains(judged.confirmed, c.host) {
				got = confirmed
			}
			if slices.Contains(judged.copied, c.host) {
				got = copied
			}
			if slices.Contains(judged.unobserved, c.host) {
				got = unobserved
			}
			if slices.Contains(judged.unobservedReplicated, c.host) {
				got = contestedForTurns
			}
			if got != c.want {
				t.Errorf("the loss is %s, want %s", got, c.want)
			}
		})
	}
}
