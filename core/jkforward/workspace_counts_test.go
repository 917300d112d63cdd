package jkforward

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Guards against a series for each of thousands of workspaces, against busy workspaces without one, and
// against requests that are counted nowhere.
func TestSeriesByWorkspaceAreBounded(t *testing.T) {
	set := metrics.NewSet()
	counts := newWorkspaceCounts(set)
	now := time.Unix(0, 0)
	series := func() string {
		var out bytes.Buffer
		set.WritePrometheus(&out)
		return out.String()
	}
	total := int64(0)
	observe := func(workspace string, n int) {
		for range n {
			counts.observe(now, workspace, "served")
			total++
		}
	}
	const workspaces = 5000
	for i := range workspaces {
		observe(fmt.Sprintf("w%d", i), 1)
	}
	if got := strings.Count(series(), "\n"); got != namedWorkspaces+1 {
		t.Errorf("%d series, want %d", got, namedWorkspaces+1)
	}
	for minute := range 3 {
		now = now.Add(rankInterval)
		observe("w4000", 100+minute)
	}
	if got := strings.Count(series(), "\n"); got > namedWorkspaces+1 || !strings.Contains(series(), `workspace="w4000"`) {
		t.Errorf("%d series, w4000 is the busiest of:\n%s", got, series())
	}
	view := counts.counts()
	sum := view.Other.Requests
	for _, w := range view.Workspaces {
		sum += w.Requests
	}
	if sum != total || len(view.Workspaces) != namedWorkspaces || view.Workspaces[0].Workspace != "w4000" || view.Workspaces[0].Requests != 304 {
		t.Errorf("%d of %d requests, %d workspaces, the first is %+v", sum, total, len(view.Workspaces), view.Workspaces[0])
	}
	for range 20 {
		now = now.Add(rankInterval)
		observe("w4000", 1)
	}
	if len(counts.rows) != 1 || counts.counts().Other.Requests != workspaces-1 {
		t.Errorf("%d rows are kept, %d other requests", len(counts.rows), counts.counts().Other.Requests)
	}
}

// Guards against a workspace called "other" whose requests appear as those of all others twice.
func TestWorkspaceCalledOther(t *testing.T) {
	counts := newWorkspaceCounts(metrics.NewSet())
	counts.observe(time.Unix(0, 0), otherWorkspaces, "served")
	if view := counts.counts(); len(view.Workspaces) != 0 || view.Other.Requests != 1 {
		t.Errorf("counts are %+v", view)
	}
}
