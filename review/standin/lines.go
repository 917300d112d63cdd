package main

import (
	"fmt"
	"strings"
	"time"
)

// linePrograms is the number of programs of two turns.
const linePrograms = 20

// playLines continues turns whose events have data of several lines, of which the first is
// empty, as with text that begins with a line break. Without the trouble the data of each
// event is one line.
func playLines(f *fleet, r *runs, trouble bool) (broken []string, err error) {
	rec := f.rec
	for _, s := range f.servers {
		s.setLineBreaks(trouble)
	}
	if err := f.startFleet(); err != nil {
		return nil, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	rec.at(10)
	wrong := make([]string, linePrograms)
	continued := make([]bool, linePrograms)
	parallel(linePrograms, 5, func(i int) {
		a := newAgent(wideBudget)
		for try := range 6 {
			if a.turns == 2 {
				return
			}
			before := a.history.String()
			input := fmt.Sprintf("input %d of program %s\n", a.turns+1, a.id)
			a.lineBreaks = trouble
			res := a.send(rec, f.entries[(i+try)%len(f.entries)], input, 3*eventTokens)
			for _, one := range r.of(res.id) {
				if before == "" {
					continue
				}
				continued[i] = true
				if one.body != digest([]byte(before+input)) {
					wrong[i] = fmt.Sprintf("UNASKED: %s runs turn %s with body %s, the chain and the input are %s (%q)", one.server, res.id, one.body, digest([]byte(before+input)), before+input)
				}
			}
		}
	})
	n, ran := 0, 0
	for i, text := range wrong {
		if continued[i] {
			ran++
		}
		if text != "" {
			n++
			rec.add("broken", "%s", text)
		}
	}
	rec.note("%d of %d turns that go on from another one ran with a body that isn't the chain and the input", n, ran)
	switch {
	case ran == 0:
		return nil, fmt.Errorf("no turn went on from another one")
	case n > 0:
		broken = append(broken, fmt.Sprintf("UNASKED (%d turns)", n))
	}
	return broken, nil
}

// encodeData encodes the data of an event as lines of a stream.
func encodeData(data string) string {
	return "data: " + strings.ReplaceAll(data, "\n", "\ndata: ") + "\n"
}
