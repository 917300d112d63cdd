package jkruleset

import (
	"crypto/sha256"
	"slices"
)

// KeyHash is the SHA-256 hash of a caller's key. Rules hold hashes only, so that no log or
// message can contain a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// WorkspaceConfig holds the properties of a workspace.
type WorkspaceConfig struct {
	Name string
	// Keys are the hashes of the keys that its callers may use.
	Keys []KeyHash
	// Priority ranks workspaces before routes do; 0 is the highest. Nil leaves the rank to the
	// routes.
	Priority *int
	// Rate and Burst are the cap of the workspace over all hosts together: requests a second,
	// and requests that may come at once. A Rate of zero means no cap.
	Rate  float64
	Burst float64
}

// Workspace is a tenant with its keys, its priority and its cap.
type Workspace struct{ config WorkspaceConfig }

// NewWorkspace returns a workspace with the given properties.
func NewWorkspace(c WorkspaceConfig) *Workspace {
	c.Keys = slices.Clone(c.Keys)
	return &Workspace{config: c}
}

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.config.Name }

// Priority returns the workspace's rank, and false if it has none.
func (w *Workspace) Priority() (rank int, ok bool) {
	if w.config.Priority == nil {
		return 0, false
	}
	return *w.config.Priority, true
}

// Rate returns the requests a second that the workspace may send over all hosts; zero means
// no cap.
func (w *Workspace) Rate() float64 { return w.config.Rate }

// Burst returns the requests that may come at once, beyond the rate.
func (w *Workspace) Burst() float64 { return w.config.Burst }

// IsCapped reports whether the workspace has a cap.
func (w *Workspace) IsCapped() bool { return w.config.Rate > 0 }

// WithWorkspaces returns the rules with workspaces: requests then need a key, unless their
// route is public.
func (s *Set) WithWorkspaces(workspaces []*Workspace) *Set {
	out := *s
	out.workspaces = slices.Clone(workspaces)
	out.workspacesByKey = make(map[KeyHash]*Workspace, len(workspaces))
	for _, w := range workspaces {
		for _, key := range w.config.Keys {
			out.workspacesByKey[key] = w
		}
	}
	return &out
}

// HasWorkspaces reports whether requests need a key.
func (s *Set) HasWorkspaces() bool { return len(s.workspaces) > 0 }

// Workspaces returns all workspaces.
func (s *Set) Workspaces() []*Workspace { return s.workspaces }

// Workspace returns the workspace of a key, or nil if the rules have no such key.
func (s *Set) Workspace(key KeyHash) *Workspace { return s.workspacesByKey[key] }
