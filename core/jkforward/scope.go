package jkforward

// scopeSeparator encloses the workspace in the names that the Account gets. It can't occur in the
// value of a header, so that no caller can name a turn or a program of another workspace.
const scopeSeparator = "\x1f"

// scopedName returns the name of a program, request or reservation of a workspace; an empty
// workspace stands for none.
func scopedName(workspace, name string) string {
	if workspace == "" {
		return name
	}
	return scopeSeparator + workspace + scopeSeparator + name
}

// scoped returns a name in the scope of the caller's workspace.
func (c *call) scoped(name string) string { return scopedName(c.workspaceName(), name) }

// workspaceName returns the name of the caller's workspace, or "" without one.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name()
}
