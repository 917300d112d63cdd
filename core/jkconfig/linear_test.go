package jkconfig

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"jasmineknot.example/core/jkstandin"
)

// editInput and editOutput are the arguments and the result of one recorded call of
// Editor.Apply.
type editInput struct {
	id      string
	section Section
	base    uint64
}

type editOutput struct {
	revision uint64
	outcome  string
}

// editState is the state of the specification: the newest revision, the last revision
// of each section, and the revision of each applied edit.
type editState struct {
	newest   uint64
	sections map[Section]uint64
	applied  map[string]uint64
}

func (s editState) apply(in editInput) editState {
	next := editState{newest: s.newest + 1, sections: maps.Clone(s.sections), applied: maps.Clone(s.applied)}
	next.sections[in.section] = next.newest
	next.applied[in.id] = next.newest
	return next
}

// stepEdit returns the states that the specification allows after a call.
func stepEdit(state, input, output any) []any {
	s, in, out := state.(editState), input.(editInput), output.(editOutput)
	revision, applied := s.applied[in.id]
	allowed := !applied && s.sections[in.section] <= in.base
	switch out.outcome {
	case "accepted":
		if applied && revision == out.revision {
			return []any{s}
		}
		if allowed && out.revision == s.newest+1 {
			return []any{s.apply(in)}
		}
		return nil
	case "conflict":
		if applied || s.sections[in.section] != out.revision || out.revision <= in.base {
			return nil
		}
		return []any{s}
	case "uncertain":
		if allowed {
			return []any{s, s.apply(in)}
		}
	}
	return []any{s}
}

func editModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any {
			return []any{editState{sections: map[Section]uint64{}, applied: map[string]uint64{}}}
		},
		Step: stepEdit,
		Equal: func(a, b any) bool {
			x, y := a.(editState), b.(editState)
			return x.newest == y.newest && maps.Equal(x.sections, y.sections) && maps.Equal(x.applied, y.applied)
		},
	}
	return m.ToModel()
}

// recorder records the history of calls of several hosts.
type recorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	calls []porcupine.Operation
}

func (r *recorder) add(client int, call, end int64, in editInput, out editOutput) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// edit makes one call and records it.
func (r *recorder) edit(ctx context.Context, t *testing.T, client int, h *host, in editInput, n int) {
	call := r.clock.Add(1)
	result, err := h.editor.Apply(ctx, Edit{
		ID: in.id, Team: "team", Section: in.section, Base: in.base,
		Value: serviceRules("team", "svc-"+string(in.section), n),
	})
	end := r.clock.Add(1)
	var conflict *ConflictError
	var uncertain *UncertainError
	var unavailable *UnavailableError
	out := editOutput{revision: result.Revision, outcome: "accepted"}
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		out = editOutput{revision: conflict.Revision, outcome: "conflict"}
	case errors.As(err, &uncertain):
		// The write may take effect at any later time.
		out, end = editOutput{outcome: "uncertain"}, math.MaxInt64
	case errors.As(err, &unavailable):
		out = editOutput{outcome: "unavailable"}
	default:
		t.Errorf("%+v: %v", in, err)
	}
	r.add(client, call, end, in, out)
}

// Guards against edits that, after some sequence of races, lost answers, outages and
// retries, are applied twice, lost after they were accepted, or accepted although their
// section has changed since their base.
func TestConcurrentEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { checkEdits(t, seed) })
	}
}

func checkEdits(t *testing.T, seed uint64) {
	s := newFixture(t)
	const clients, edits = 4, 12
	hosts := make([]*host, clients)
	for i := range hosts {
		hosts[i] = s.host(false)
	}
	r := &recorder{}
	var wg sync.WaitGroup
	for client := range clients {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		wg.Go(func() {
			for n := range edits {
				s.platform.SetFaults(randomFaults(random))
				in := editInput{
					id:      fmt.Sprint("c", client, "-", n),
					section: serviceSections()[random.IntN(3)],
					base:    hosts[client].follower.Revision(),
				}
				value := 1 + client*edits + n
				ctx, cancel := context.WithTimeout(t.Context(), randomTimeout(random))
				r.edit(ctx, t, client, hosts[client], in, value)
				cancel()
				// The caller got no answer and retries at another host.
				if random.IntN(3) == 0 {
					r.edit(t.Context(), t, client, hosts[random.IntN(clients)], in, value)
				}
			}
		})
	}
	wg.Wait()
	result := porcupine.CheckOperationsTimeout(editModel(), r.calls, 30*time.Second)
	if result != porcupine.Ok {
		t.Errorf("history of %d calls: %s", len(r.calls), result)
		for _, c := range r.calls {
			t.Logf("%d: [%d %d] %+v -> %+v", c.ClientId, c.Call, c.Return, c.Input, c.Output)
		}
	}
	outcomes := map[string]int{}
	for _, c := range r.calls {
		outcomes[c.Output.(editOutput).outcome]++
	}
	t.Logf("outcomes %v", outcomes)
}

// randomTimeout returns how long a caller waits; some give up in the middle of an edit.
func randomTimeout(random *rand.Rand) time.Duration {
	if random.IntN(2) == 0 {
		return time.Duration(1+random.IntN(8)) * time.Millisecond
	}
	return time.Minute
}

// randomFaults returns a fault for the next calls of any host.
func randomFaults(random *rand.Rand) jkstandin.PlatformFaults {
	switch random.IntN(6) {
	case 0, 1:
		return jkstandin.PlatformFaults{LoseAnswers: 1 + random.IntN(3)}
	case 2:
		return jkstandin.PlatformFaults{DelayMS: 3}
	case 3:
		return jkstandin.PlatformFaults{Down: random.IntN(3) == 0}
	}
	return jkstandin.PlatformFaults{}
}
