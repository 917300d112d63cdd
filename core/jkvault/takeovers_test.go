package jkvault

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"jasmineknot.example/core/jkledger"
)

// Guards against a copy that vouches for records of a host that it took over before that one was last up, or
// before another host of the zone fell silent too, and against one that forgets in a restart what it has taken
// over.
func TestTakeovers(t *testing.T) {
	path := filepath.Join(t.TempDir(), takeoversFile)
	open := func() *takeovers {
		out := &takeovers{answers: Answers{}, save: func(data []byte) error { return os.WriteFile(path, data, 0o600) }}
		content, _ := os.ReadFile(path)
		out.read(content)
		return out
	}
	all := open()
	pending := map[string]Silent{}
	datadriven.RunTest(t, "testdata/takeovers", func(t *testing.T, d *datadriven.TestData) string {
		words := strings.Fields(d.Input)
		switch d.Cmd {
		case "begin":
			p := Silent{Since: all.since()}
			for _, host := range words[1:] {
				host, seenBy, isSeen := strings.Cut(host, "@")
				p.Hosts = append(p.Hosts, jkledger.GoneHost{Host: host})
				if isSeen {
					p.Seen = append(p.Seen, jkledger.Silence{Host: host, SeenBy: seenBy})
				}
			}
			pending[words[0]] = p
		case "end":
			if err := all.end(pending[words[0]], words[1:]...); err != nil {
				t.Error(err)
			}
		case "answered":
			all.answered(words[0])
			if err := all.write(); err != nil {
				t.Error(err)
			}
		case "restart":
			all = open()
		case "damage":
			if err := os.WriteFile(path, []byte("torn"), 0o600); err != nil {
				t.Error(err)
			}
			all = open()
		default:
			return "unknown command " + d.Cmd
		}
		var out strings.Builder
		for _, row := range all.all() {
			var gone []string
			for _, h := range row.Gone {
				gone = append(gone, h.Host)
			}
			fmt.Fprintf(&out, "%v from %v", gone, row.From)
			for _, s := range row.Silences {
				fmt.Fprintf(&out, ", %s silent for %s", s.Host, s.SeenBy)
			}
			out.WriteByte('\n')
		}
		return out.String()
	})
}
