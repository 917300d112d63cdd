package jkledger

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against copies that end with different content because records reached
// them in another order, or twice.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var records []Record
		for i := range rapid.IntRange(1, 12).Draw(t, "spendings") {
			request := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "request"))
			// All settled records of a request are equal, and so are its reserved ones.
			held := Spending{Program: "p", Request: request, Tokens: 100}
			if i%2 == 0 {
				held.Tokens, held.Settled = int64(len(request)*10), true
			}
			records = append(records, Record{Spending: &held})
		}
		a, b := New(), New()
		for _, r := range records {
			a.Apply(now, r)
		}
		for _, i := range rapid.Permutation(indexes(len(records))).Draw(t, "order") {
			b.Apply(now, records[i])
			b.Apply(now, records[i])
		}
		if a.Total("p") != b.Total("p") {
			t.Fatalf("totals %d and %d", a.Total("p"), b.Total("p"))
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against turns that expire while a later turn of their chain is still kept.
func TestChainIsKeptTogether(t *testing.T) {
	l := New()
	start := time.Unix(0, 0)
	addTurn := func(at time.Duration, request, previous string) {
		l.Apply(start.Add(at), Record{Turn: &Turn{Request: request, Previous: previous, Retention: time.Minute}})
	}
	addTurn(0, "1", "")
	addTurn(50*time.Second, "2", "1")
	l.Expire(start.Add(90 * time.Second))
	if _, whole, missing := l.Chain("2"); !whole {
		t.Errorf("chain lacks %q, want it whole within its retention", missing)
	}
	l.Expire(start.Add(130 * time.Second))
	if l.Turns() != 0 {
		t.Errorf("%d turns left after their retention", l.Turns())
	}
}

// Guards against a renewal that only the running process knows, and against a log that grows with each spending that is
// sent again.
func TestSpendingSentAgainIsLoggedOnceASecond(t *testing.T) {
	l, start := New(), time.Unix(1e9, 0)
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{{0, true}, {0, false}, {999 * time.Millisecond, false}, {time.Second, true}, {1500 * time.Millisecond, false}, {59 * time.Second, true}} {
		spending := Record{Spending: &Spending{Program: "p", Request: "1", Tokens: 100, Settled: true, Retention: time.Minute}}
		if got := l.Apply(start.Add(c.at), spending); got != c.want {
			t.Errorf("after %s the log has to hold it: %t, want %t", c.at, got, c.want)
		}
	}
}

func newTurnRecord(i int) Record {
	return Record{Turn: &Turn{Request: fmt.Sprint(i), Input: []byte("input"), Retention: time.Minute}}
}

func readRequests(t *testing.T, folder string) []string {
	t.Helper()
	var out []string
	l, err := OpenLog(folder, func(r Record) { out = append(out, r.Turn.Request) })
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return out
}

func writeRecords(t *testing.T, folder string, n int) {
	t.Helper()
	l, err := OpenLog(folder, func(Record) {})
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		if err := l.Append(newTurnRecord(i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Write(l.TakeBuffer()); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a log that loses synced records because a power loss cut a later
// write short, and against an incomplete record that is read as a complete one.
func TestTornWriteEndsTheSegment(t *testing.T) {
	for _, damage := range []struct {
		name string
		do   func(data []byte) []byte
	}{
		{"cut in the head", func(d []byte) []byte { return append(d, 0, 0, 0) }},
		{"cut in the body", func(d []byte) []byte { return append(d, d[:len(d)/4]...) }},
		{"zeros", func(d []byte) []byte { return append(d, make([]byte, 64)...) }},
		{"changed byte", func(d []byte) []byte {
			torn := append([]byte(nil), d[:len(d)/3]...)
			torn[len(torn)-1] ^= 1
			return append(d, torn...)
		}},
	} {
		t.Run(damage.name, func(t *testing.T) {
			folder := t.TempDir()
			writeRecords(t, folder, 3)
			path := filepath.Join(folder, "1.ledger")
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage.do(data), 0o600); err != nil {
				t.Fatal(err)
			}
			writeRecords(t, folder, 1)
			if got := readRequests(t, folder); len(got) != 4 {
				t.Errorf("records %v, want the three before and the one after", got)
			}
		})
	}
}

// Guards against compaction that loses records or leaves old segments behind.
func TestCompactKeepsWhatIsGiven(t *testing.T) {
	folder := t.TempDir()
	writeRecords(t, folder, 5)
	l, err := OpenLog(folder, func(Record) {})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Compact([]Record{newTurnRecord(7)}); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if got := readRequests(t, folder); len(got) != 1 || got[0] != "7" {
		t.Errorf("records %v, want only 7", got)
	}
}

// Guards against a panic or an error while a damaged segment is read.
func FuzzReadRecord(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "1.ledger"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		l, err := OpenLog(folder, func(Record) {})
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
	})
}

// Guards against programs that are kept beyond their retention without a bound, and against recent ones that are removed first.
func TestExpiredProgramsAreBounded(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	for i := range 10 {
		l.Apply(now.Add(time.Duration(i)*time.Second), Record{Spending: &Spending{Program: fmt.Sprint(i), Request: "1", Tokens: 1, Retention: 3 * time.Second}})
	}
	end := now.Add(16500 * time.Millisecond)
	if l.ExpirePrograms(end, 10*(programBytes+spendingBytes+2)) {
		t.Error("programs were removed within the bound")
	}
	if !l.ExpirePrograms(end, 2*(programBytes+spendingBytes+2)) || l.Programs() != 3 || l.Total("9")+l.Total("8")+l.Total("7") != 3 {
		t.Errorf("%d programs are kept, want the one within its retention and the last two of the others", l.Programs())
	}
}

// Guards against a copy that counts less than it did before it was down for longer than the retention, though others may have
// gone on with the program.
func TestStartKeepsWhatExpiredMeanwhile(t *testing.T) {
	l, at := New(), time.Unix(1000, 0)
	replay := NewReplay(at.Add(time.Hour), l, 10)
	replay.Add(Record{Spending: &Spending{Program: "p", Request: "1", Tokens: 1, Retention: time.Second}, Time: at.UnixMilli()})
	replay.End(at.Add(time.Hour))
	if l.Total("p") != 1 {
		t.Error("the start has removed the program")
	}
}
