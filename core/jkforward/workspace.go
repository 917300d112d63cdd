package jkforward

import (
	"context"
	"fmt"
	"time"

	"jasmineknot.example/core/jkruleset"
)

// Currency tells whether the rules in force are known to be the newest. Nil functions mean
// that they are.
type Currency struct {
	// MayServe reports whether a key that the rules have can't have been removed for longer than
	// the operator allows.
	MayServe func() bool
	// MayDeny reports whether a key that the rules don't have can't have been added already.
	MayDeny func() bool
}

// Quota counts requests against the caps of workspaces over all hosts.
type Quota struct {
	// Take takes a permit for one request of a workspace with a cap; first is set for the first
	// turn of a program. Version is the version of the rules that the workspace is from. Release
	// gives back the permit of a request that no endpoint got. The error is a *QuotaError. Nil
	// means that there are no caps.
	Take func(ctx context.Context, w *jkruleset.Workspace, version int64, first bool) (release func(), err error)
}

// QuotaError is returned for a request beyond the cap of its workspace.
type QuotaError struct {
	Workspace string
	// RetryAfter is the time after which a permit is expected.
	RetryAfter time.Duration
	// Unknown is set if it isn't known whether the cap allows the request, since no issuer of
	// permits answered.
	Unknown bool
}

func (e *QuotaError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("no issuer of permits for workspace %q answered", e.Workspace)
	}
	return fmt.Sprintf("workspace %q is at its cap, retry after %v", e.Workspace, e.RetryAfter)
}
