package jkforward

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// namedWorkspaces is the number of workspaces with metrics of their own. A fleet may have
	// thousands, which would be more series than all others of a host together.
	namedWorkspaces = 20
	// maxCountedWorkspaces bounds the workspaces whose requests are counted each.
	maxCountedWorkspaces = 4096
	// rankInterval is the time after which the busiest workspaces are determined again. The
	// requests before it count half each time.
	rankInterval = time.Minute
	// minRecentRequests is the number of recent requests below which a workspace is forgotten:
	// some ten minutes after a few requests.
	minRecentRequests = 1.0 / 128
	// otherWorkspaces stands for all workspaces without metrics of their own.
	otherWorkspaces = "other"
)

// WorkspaceCount holds the requests of a workspace that have ended since the process started.
type WorkspaceCount struct {
	Workspace string `json:"workspace"`
	Requests  int64  `json:"requests"`
	// Reasons counts the requests by reason.
	Reasons map[string]int64 `json:"reasons"`
}

// WorkspaceCounts holds the requests of the workspaces with the most requests, and of all others.
type WorkspaceCounts struct {
	Workspaces []WorkspaceCount `json:"workspaces"`
	Other      WorkspaceCount   `json:"other"`
}

// workspaceRow counts the requests of one workspace.
type workspaceRow struct {
	count WorkspaceCount
	// recent is the number of requests with a half-life of rankInterval.
	recent  float64
	isNamed bool
}

// workspaceCounts counts requests by workspace. It is safe for concurrent use.
type workspaceCounts struct {
	mu       sync.Mutex
	set      *metrics.Set
	rows     map[string]*workspaceRow
	named    int
	rankedAt time.Time
	// forgotten holds the requests of workspaces that have no row.
	forgotten WorkspaceCount
}

func newWorkspaceCounts(set *metrics.Set) *workspaceCounts {
	return &workspaceCounts{set: set, rows: map[string]*workspaceRow{}, forgotten: newWorkspaceCount(otherWorkspaces)}
}

func newWorkspaceCount(name string) WorkspaceCount {
	return WorkspaceCount{Workspace: name, Reasons: map[string]int64{}}
}

func (c *WorkspaceCount) add(reason string, n int64) {
	c.Requests += n
	c.Reasons[reason] += n
}

func (c *WorkspaceCount) addAll(o WorkspaceCount) {
	for reason, n := range o.Reasons {
		c.add(reason, n)
	}
}

func seriesName(workspace, reason string) string {
	return fmt.Sprintf(`jk_workspace_requests_total{workspace=%q,reason=%q}`, workspace, reason)
}

// observe counts a request that has ended.
func (w *workspaceCounts) observe(now time.Time, workspace, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.rankedAt) >= rankInterval {
		w.rank()
		w.rankedAt = now
	}
	row := w.getOrAdd(workspace)
	if row == nil {
		w.forgotten.add(reason, 1)
		w.set.GetOrCreateCounter(seriesName(otherWorkspaces, reason)).Inc()
		return
	}
	row.count.add(reason, 1)
	row.recent++
	series := otherWorkspaces
	if row.isNamed {
		series = workspace
	}
	w.set.GetOrCreateCounter(seriesName(series, reason)).Inc()
}

// getOrAdd returns the row of a workspace, or nil if there are too many. While fewer than
// namedWorkspaces are named, a new one is.
func (w *workspaceCounts) getOrAdd(workspace string) *workspaceRow {
	if row := w.rows[workspace]; row != nil {
		return row
	}
	if len(w.rows) >= maxCountedWorkspaces {
		return nil
	}
	row := &workspaceRow{count: newWorkspaceCount(workspace)}
	// The series of a workspace of that name would be the one of all others.
	if w.named < namedWorkspaces && workspace != otherWorkspaces {
		row.isNamed = true
		w.named++
	}
	w.rows[workspace] = row
	return row
}

// rank names the workspaces with the most recent requests and forgets those without any. A workspace
// that isn't named anymore loses its series: a series that stood still would look like one without
// requests.
func (w *workspaceCounts) rank() {
	ranked := slices.SortedFunc(maps.Values(w.rows), func(a, b *workspaceRow) int {
		return cmp.Or(cmp.Compare(b.recent, a.recent), cmp.Compare(a.count.Workspace, b.count.Workspace))
	})
	w.named = 0
	for _, row := range ranked {
		row.recent /= 2
		isForgotten := row.recent < minRecentRequests
		isNamed := w.named < namedWorkspaces && !isForgotten && row.count.Workspace != otherWorkspaces
		if row.isNamed && !isNamed {
			for reason := range row.count.Reasons {
				w.set.UnregisterMetric(seriesName(row.count.Workspace, reason))
			}
		}
		if row.isNamed = isNamed; isNamed {
			w.named++
		}
		if isForgotten {
			w.forgotten.addAll(row.count)
			delete(w.rows, row.count.Workspace)
		}
	}
}

// counts returns the counts of the named workspaces, those with the most requests first, and of all others.
func (w *workspaceCounts) counts() WorkspaceCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := WorkspaceCounts{Workspaces: []WorkspaceCount{}, Other: newWorkspaceCount(otherWorkspaces)}
	out.Other.addAll(w.forgotten)
	for _, row := range w.rows {
		if !row.isNamed {
			out.Other.addAll(row.count)
			continue
		}
		copied := newWorkspaceCount(row.count.Workspace)
		copied.addAll(row.count)
		out.Workspaces = append(out.Workspaces, copied)
	}
	slices.SortFunc(out.Workspaces, func(a, b WorkspaceCount) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out
}
