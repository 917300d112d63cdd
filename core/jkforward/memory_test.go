package jkforward

import "testing"

// Guards against outputs of many turns that exceed the memory of a host together, and against
// a sum that grows with turns that have ended.
func TestOutputsOfAllTurnsAreBounded(t *testing.T) {
	const size = 100 << 10
	o := newHeldOutputs(3 * size)
	if !o.grow(0, smallOutputBytes) || o.bytes.Load() != 0 {
		t.Errorf("a small output counts as %d bytes, want none", o.bytes.Load())
	}
	admitted := 0
	for o.grow(0, size) {
		admitted++
	}
	if admitted != 3 {
		t.Errorf("%d outputs are held, want 3", admitted)
	}
	for range admitted {
		o.release(size)
	}
	if n := o.bytes.Load(); n != 0 {
		t.Errorf("%d bytes are held after all turns have ended", n)
	}
}
