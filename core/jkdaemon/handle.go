package jkdaemon

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkcopy"
	"jasmineknot.example/core/jkhome"
	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
	"jasmineknot.example/core/jkwire"
)

// handle serves one message from another daemon.
func (d *Daemon) handle(ctx context.Context, in *jkwire.ServerStream) {
	if d.gossip.Handle(in) || d.router.Handle(ctx, in) {
		return
	}
	var err error
	switch in.Type() {
	case jkmsg.TypeDispatch:
		err = d.handleDispatch(ctx, in)
	case jkmsg.TypeRelease:
		var m jkmsg.Release
		if err = in.Decode(&m); err == nil {
			d.applyRelease(m)
			err = in.End(nil)
		}
	case jkmsg.TypeReleased:
		var m jkmsg.Released
		if err = in.Decode(&m); err == nil {
			d.home.RecordCacheReleased(m)
			err = in.End(nil)
		}
	case jkmsg.TypeCopyAppend:
		var m jkmsg.CopyAppend
		if err = in.Decode(&m); err == nil {
			err = in.End(&jkmsg.CopyAppendResult{Status: d.storeCopy(m.Record)})
		}
	case jkmsg.TypeCopyRead:
		var m jkmsg.CopyRead
		if err = in.Decode(&m); err == nil {
			r := d.readCopy(m)
			r.Host = d.home.Self()
			err = in.End(&r)
		}
	case jkmsg.TypeConfigPull:
		err = d.handleConfigPull(in)
	default:
		err = eris.Errorf("message type %q is not known", in.Type())
	}
	if err != nil {
		_ = in.Fail("bad_message", err.Error())
	}
}

func (d *Daemon) handleConfigPull(in *jkwire.ServerStream) error {
	var m jkmsg.ConfigPull
	if err := in.Decode(&m); err != nil {
		return err
	}
	c, err := d.configSince(m.KnownRevision)
	if err != nil {
		return err
	}
	return in.End(&c)
}

func (d *Daemon) handleDispatch(ctx context.Context, in *jkwire.ServerStream) error {
	var m jkmsg.Dispatch
	if err := in.Decode(&m); err != nil {
		return err
	}
	r := d.dispatcher.Run(ctx, m, func(e jkmsg.DispatchEvent) error { return in.Send(&e) })
	return in.End(&r)
}

// storeCopy appends a record to this host's history copies.
func (d *Daemon) storeCopy(r jkprogram.Record) jkmsg.CopyStatus {
	if d.copies == nil {
		return jkmsg.CopyFailed
	}
	err := d.copies.Append(d.options.Timer.Now(), r)
	var fenced *jkcopy.FencedError
	var gap *jkcopy.GapError
	switch {
	case err == nil:
		return jkmsg.CopyStored
	case errors.As(err, &fenced):
		return jkmsg.CopyFenced
	case errors.As(err, &gap):
		return jkmsg.CopyGap
	}
	d.log.Part("copy").Error("record can't be stored", err, "program", r.Program)
	return jkmsg.CopyFailed
}

// readCopy returns this host's copy of a program, or the state of a former home on this
// host if that is newer.
func (d *Daemon) readCopy(m jkmsg.CopyRead) jkmsg.CopyReadResult {
	stored := d.readStoredCopy(m)
	// A former home on this host may hold turns that its copies missed. It runs
	// nothing for the program any more, so its state is final.
	retired, ok := d.home.RetiredState(m.Program)
	if !ok || (stored.Held && (stored.State.Epoch > retired.Epoch || (stored.State.Epoch == retired.Epoch && stored.State.Seq >= retired.Seq))) {
		return stored
	}
	return jkmsg.CopyReadResult{Held: true, Fence: max(stored.Fence, m.Epoch, retired.Epoch+1), State: retired}
}

func (d *Daemon) readStoredCopy(m jkmsg.CopyRead) jkmsg.CopyReadResult {
	if d.copies == nil {
		return jkmsg.CopyReadResult{}
	}
	var r jkcopy.ReadResult
	var err error
	if m.TakeOver {
		r, err = d.copies.TakeOver(m.Program, m.Reader, m.Epoch)
	} else {
		r, err = d.copies.Read(m.Program)
	}
	if err != nil {
		return jkmsg.CopyReadResult{}
	}
	return jkmsg.CopyReadResult{Held: true, Uncertain: r.Uncertain, Fence: r.Fence, State: r.State}
}

// transport returns the functions by which the home reaches the other parts, on this host
// or on others.
func (d *Daemon) transport() jkhome.Transport {
	return jkhome.Transport{
		Dispatch:          d.sendDispatch,
		AppendCopy:        d.sendCopy,
		ReadCopy:          d.fetchCopy,
		ChooseCopies:      d.chooseCopies,
		DiskHosts:         d.diskHosts,
		HostState:         d.hostState,
		RemoveCopyHost:    d.copySetRecords.abandon,
		IsCopyHostRemoved: d.copySetRecords.wasAbandoned,
		IsEnded:           (&endedCheck{daemon: d}).isEnded,
		Release:           d.release,
		ReleaseMoved:      d.releaseMoved,
	}
}

// dispatcherOf returns the host that dispatches to an endpoint; local reports whether it
// is this host.
func (d *Daemon) dispatcherOf(endpoint string) (host jkmember.Host, local, ok bool) {
	e, known := d.follower.Newest().Endpoint(endpoint)
	if !known {
		return host, false, false
	}
	d.gossip.WithTable(func(t *jkmember.Table) {
		host, ok = t.Dispatcher(endpoint, e.Zone())
		local = ok && host.Incarnation == t.Self().Incarnation
	})
	return host, local, ok
}

func (d *Daemon) sendDispatch(ctx context.Context, m jkmsg.Dispatch, event func(jkmsg.DispatchEvent)) (jkmsg.DispatchResult, bool, error) {
	host, local, ok := d.dispatcherOf(m.Endpoint)
	if !ok {
		return jkmsg.DispatchResult{}, false, eris.Errorf("endpoint %s has no dispatcher", m.Endpoint)
	}
	if local {
		return d.dispatcher.Run(ctx, m, func(e jkmsg.DispatchEvent) error { event(e); return nil }), true, nil
	}
	s, err := d.pool.Open(ctx, host.Addr, jkmsg.TypeDispatch, &m)
	if err != nil {
		return jkmsg.DispatchResult{}, mayHaveBeenSent(err), err
	}
	defer s.Close()
	for {
		message, err := s.Receive(ctx)
		if err != nil {
			return jkmsg.DispatchResult{}, mayHaveBeenSent(err), err
		}
		if message.Last {
			var r jkmsg.DispatchResult
			return r, true, message.Decode(&r)
		}
		var e jkmsg.DispatchEvent
		if err := message.Decode(&e); err != nil {
			return jkmsg.DispatchResult{}, true, err
		}
		event(e)
	}
}

// mayHaveBeenSent reports whether a failed request may have reached the peer.
func mayHaveBeenSent(err error) bool {
	var lost *jkwire.ConnectionError
	if errors.As(err, &lost) {
		return lost.Sent
	}
	var large *jkwire.FrameTooLargeError
	return !errors.As(err, &large)
}

func (d *Daemon) hostAddr(name string) (addr string, local bool) {
	d.gossip.WithTable(func(t *jkmember.Table) {
		h, _ := t.Status(name)
		addr = h.Addr
		local = name == t.Self().Incarnation.Host
	})
	return addr, local
}

func (d *Daemon) sendCopy(ctx context.Context, host string, r jkprogram.Record) (jkmsg.CopyStatus, error) {
	addr, local := d.hostAddr(host)
	if local {
		return d.storeCopy(r), nil
	}
	if addr == "" {
		return "", eris.Errorf("host %s is not known", host)
	}
	var result jkmsg.CopyAppendResult
	err := d.pool.Call(ctx, addr, jkmsg.TypeCopyAppend, &jkmsg.CopyAppend{Record: r}, &result)
	return result.Status, err
}

func (d *Daemon) fetchCopy(ctx context.Context, host string, m jkmsg.CopyRead) (jkmsg.CopyReadResult, error) {
	addr, local := d.hostAddr(host)
	if local {
		r := d.readCopy(m)
		r.Host = d.home.Self()
		return r, nil
	}
	if addr == "" {
		return jkmsg.CopyReadResult{}, eris.Errorf("host %s is not known", host)
	}
	var result jkmsg.CopyReadResult
	err := d.pool.Call(ctx, addr, jkmsg.TypeCopyRead, &m, &result)
	return result, err
}

func (d *Daemon) chooseCopies(program string) []string {
	var names []string
	d.gossip.WithTable(func(t *jkmember.Table) {
		for _, h := range t.Copies(program) {
			names = append(names, h.Incarnation.Host)
		}
	})
	return names
}

// maxDiskHosts bounds the hosts that are queried for copies of a program whose caller has
// no token.
const maxDiskHosts = 16

func (d *Daemon) diskHosts() []string {
	var names []string
	d.gossip.WithTable(func(t *jkmember.Table) {
		for _, c := range t.All() {
			if c.Host.Disk && c.Status == jkmember.StatusUp && len(names) < maxDiskHosts {
				names = append(names, c.Host.Incarnation.Host)
			}
		}
	})
	return names
}

// release asks the dispatchers of endpoints to drop a program's cache.
func (d *Daemon) release(program string, endpoints []string) {
	byHost := map[jkmember.Host][]string{}
	for _, id := range endpoints {
		host, local, ok := d.dispatcherOf(id)
		switch {
		case !ok:
		case local:
			d.dispatcher.Release(program, []string{id})
		default:
			byHost[host] = append(byHost[host], id)
		}
	}
	for host, ids := range byHost {
		go d.sendRelease(host, jkmsg.Release{Program: program, Endpoints: ids})
	}
}

// releaseMoved asks the dispatcher of an endpoint to drop the cache of a program that
// continues on another endpoint.
func (d *Daemon) releaseMoved(program, endpoint string) {
	m := jkmsg.Release{Program: program, Endpoints: []string{endpoint}, Moved: true}
	host, local, ok := d.dispatcherOf(endpoint)
	switch {
	case !ok:
	case local:
		d.applyRelease(m)
	default:
		d.sendRelease(host, m)
	}
}

// applyRelease drops a program's cache on endpoints that this host dispatches to.
func (d *Daemon) applyRelease(m jkmsg.Release) {
	if !m.Moved {
		d.dispatcher.Release(m.Program, m.Endpoints)
		return
	}
	for _, id := range m.Endpoints {
		d.dispatcher.ReleaseMoved(m.Program, id)
	}
}

// notifyReleased notifies the program's home of a dropped cache.
func (d *Daemon) notifyReleased(home jktoken.Incarnation, r jkmsg.Released) {
	addr, local := d.hostAddr(home.Host)
	if local {
		d.home.RecordCacheReleased(r)
		return
	}
	body, err := jkwire.Encode(&r)
	if err != nil || addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Intervals().DeadAfter())
	defer cancel()
	// A home that misses the notification places one more call as if the cache
	// still existed.
	_ = d.pool.Notify(ctx, addr, jkmsg.TypeReleased, body)
}

func (d *Daemon) sendRelease(host jkmember.Host, m jkmsg.Release) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Intervals().DeadAfter())
	defer cancel()
	// A dispatcher that misses the request finds the cache in its audit.
	_ = d.pool.Call(ctx, host.Addr, jkmsg.TypeRelease, &m, nil)
}
