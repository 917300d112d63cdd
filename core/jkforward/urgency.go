package jkforward

// urgency ranks the request in the queue of a model engine: one of the highest priority
// gets one rank before requests that set no urgency. The workspace's priority goes before
// the route's.
func urgency(c *call) int {
	const usual = 5
	priority := c.route.Priority()
	if c.workspace != nil {
		if rank, ok := c.workspace.Priority(); ok {
			priority = rank
		}
	}
	return min(usual-1+priority, 9)
}
