package jkdaemon

import (
	"context"
	"time"

	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jktoken"
)

const (
	// maxOrphansPerRound bounds the programs ended in one round, so that the failure of
	// a host does not flood its successors.
	maxOrphansPerRound = 50
	// orphanTimeout bounds the end of one program.
	orphanTimeout = 2 * time.Second
)

// endOrphans ends programs that are past their idle limit and whose home is gone. Without
// a caller no other host would take them over, and the engines would keep their caches.
func (d *Daemon) endOrphans(ctx context.Context) {
	orphans := d.copies.Orphans(d.options.Timer.Now())
	n := 0
	for _, o := range orphans {
		if n == maxOrphansPerRound || ctx.Err() != nil {
			return
		}
		if d.isServing(o.Home) {
			continue
		}
		n++
		short, cancel := context.WithTimeout(ctx, orphanTimeout)
		r := d.router.Program(short, jkmsg.Program{Action: jkmsg.ActionExpire, Program: o.Program})
		cancel()
		if r.Problem != nil {
			d.log.Part("copy").Debug("orphaned program can't be ended yet", "program", o.Program, "problem", r.Problem.Type)
		}
	}
}

// isServing reports whether an incarnation is up, as far as this host knows.
func (d *Daemon) isServing(i jktoken.Incarnation) bool {
	up := false
	d.gossip.WithTable(func(t *jkmember.Table) {
		h, status := t.Status(i.Host)
		up = status == jkmember.StatusUp && h.Incarnation == i
	})
	return up
}
