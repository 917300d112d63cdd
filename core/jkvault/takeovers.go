package jkvault

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkrecord"
	"jasmineknot.example/core/jkwire"
)

// takeoversFile is the file of the takeovers and losses in the ledger's folder.
const takeoversFile = "takeovers"

// maxTakeoversBytes bounds the content of that file.
const maxTakeoversBytes = 1 << 20

// takeovers holds what this copy has taken over, and which hosts are gone whose records the others have. It is
// on the disk that has the records, so that a restart of all hosts doesn't forget it.
type takeovers struct {
	mu   sync.Mutex
	rows []jkledger.Takeover
	// losses are the hosts whose loss was confirmed as harmless, and replicated those of which only the reservations
	// are known to be on others.
	losses, replicated []jkledger.GoneHost
	// silences are those of losses.
	silences []jkledger.Silence
	// answers counts how often each host has answered after a silence.
	answers Answers

	// saveMu is held by the one call that writes the file.
	saveMu sync.Mutex
	save   func(data []byte) error
}

// takeoversContent is the content of the file.
type takeoversContent struct {
	Takeovers []jkledger.Takeover `msgpack:"takeovers"`
	Losses    []jkledger.GoneHost `msgpack:"losses"`
	Silences  []jkledger.Silence  `msgpack:"silences,omitempty"`
	// Replicated are the hosts that NoteReplicated was told of.
	Replicated []jkledger.GoneHost `msgpack:"replicated,omitempty"`
}

// Answers counts how often each host has answered after a silence, at a time.
type Answers map[string]int

// Silent are hosts that are silent before their programs are taken over.
type Silent struct {
	Hosts []jkledger.GoneHost
	// Since are the answers until before that.
	Since Answers
	// Seen are the silences that hosts of other zones have told of.
	Seen []jkledger.Silence
}

// since returns the answers until now.
func (t *takeovers) since() Answers {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.answers)
}

// end records that the programs of silent hosts were taken over from copies that were certain. Hosts that have
// answered since may have taken more records.
func (t *takeovers) end(silent Silent, from ...string) error {
	t.mu.Lock()
	gone := slices.DeleteFunc(slices.Clone(silent.Hosts), func(h jkledger.GoneHost) bool { return t.answers[h.Host] != silent.Since[h.Host] })
	slices.SortFunc(gone, func(a, b jkledger.GoneHost) int { return cmp.Compare(a.Host, b.Host) })
	changed := t.add(gone, silent.Seen, from...)
	t.mu.Unlock()
	if !changed {
		return nil
	}
	return t.write()
}

// add adds a source to the row of the hosts that are gone and of their silences, and reports whether it is new. The caller
// holds the lock.
func (t *takeovers) add(gone []jkledger.GoneHost, seen []jkledger.Silence, from ...string) bool {
	if len(gone) == 0 {
		return false
	}
	silences := slices.DeleteFunc(slices.Clone(seen), func(s jkledger.Silence) bool { return !slices.ContainsFunc(gone, isOf(s.Host)) })
	slices.SortFunc(silences, func(a, b jkledger.Silence) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.SeenBy, b.SeenBy))
	})
	i := slices.IndexFunc(t.rows, func(row jkledger.Takeover) bool {
		return slices.Equal(row.Gone, gone) && slices.Equal(row.Silences, silences)
	})
	if i < 0 {
		t.rows = append(t.rows, jkledger.Takeover{Gone: gone, Silences: silences})
		i = len(t.rows) - 1
	}
	// Answers that are being sent have the former slice.
	all := slices.Clone(t.rows[i].From)
	for _, host := range from {
		if !slices.Contains(all, host) {
			all = append(all, host)
		}
	}
	changed := len(all) > len(t.rows[i].From)
	t.rows[i].From = all
	return changed
}

// replicate adds a host to the list of replicated ones, and reports whether that is new.
func (t *takeovers) replicate(host jkledger.GoneHost) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Contains(t.replicated, host) {
		return false
	}
	t.replicated = append(slices.DeleteFunc(slices.Clone(t.replicated), isOf(host.Host)), host)
	return true
}

// confirm notes a loss with the silence by which it was confirmed, whose host is empty if that isn't known, and reports
// whether that is new.
func (t *takeovers) confirm(host jkledger.GoneHost, silence jkledger.Silence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isUnknown := silence.Host == ""
	if slices.Contains(t.losses, host) && (isUnknown || slices.Contains(t.silences, silence)) {
		return false
	}
	t.losses = append(slices.DeleteFunc(slices.Clone(t.losses), isOf(host.Host)), host)
	t.silences = slices.DeleteFunc(slices.Clone(t.silences), isSilenceOf(host.Host))
	if !isUnknown {
		t.silences = append(t.silences, silence)
	}
	return true
}

// confirmed returns the losses with their silences.
func (t *takeovers) confirmed() ([]jkledger.GoneHost, []jkledger.Silence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.losses), slices.Clone(t.silences)
}

// lost returns the hosts on one of these lists.
func (t *takeovers) lost(list *[]jkledger.GoneHost) []jkledger.GoneHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(*list)
}

// isOf returns a function that reports whether a host that is gone has a name.
func isOf(host string) func(jkledger.GoneHost) bool {
	return func(h jkledger.GoneHost) bool { return h.Host == host }
}

func isSilenceOf(host string) func(jkledger.Silence) bool {
	return func(s jkledger.Silence) bool { return s.Host == host }
}

// answered forgets what was taken over from a host that answers again or was removed, and reports whether
// there was anything.
func (t *takeovers) answered(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[host]++
	isHost := isOf(host)
	isKnown := slices.ContainsFunc(t.losses, isHost) || slices.ContainsFunc(t.replicated, isHost)
	if !isKnown && !slices.ContainsFunc(t.rows, func(row jkledger.Takeover) bool { return slices.ContainsFunc(row.Gone, isHost) }) {
		return false
	}
	t.losses = slices.DeleteFunc(slices.Clone(t.losses), isHost)
	t.silences = slices.DeleteFunc(slices.Clone(t.silences), isSilenceOf(host))
	t.replicated = slices.DeleteFunc(slices.Clone(t.replicated), isHost)
	former := t.rows
	t.rows = nil
	for _, row := range former {
		others := slices.DeleteFunc(slices.Clone(row.Gone), isHost)
		t.add(others, row.Silences, row.From...)
	}
	return true
}

// all returns all takeovers.
func (t *takeovers) all() []jkledger.Takeover {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.rows)
}

// write writes the newest state to disk.
func (t *takeovers) write() error {
	t.saveMu.Lock()
	defer t.saveMu.Unlock()
	lost, silences := t.confirmed()
	data, err := msgpack.Marshal(&takeoversContent{Takeovers: t.all(), Losses: lost, Silences: silences, Replicated: t.lost(&t.replicated)})
	if err != nil {
		return eris.Wrap(err, "encode takeovers")
	}
	return t.save(jkrecord.Append(nil, data))
}

// read takes over the content of the file. One that is damaged says nothing.
func (t *takeovers) read(content []byte) {
	data, err := jkrecord.Read(bytes.NewReader(content), maxTakeoversBytes)
	if err != nil {
		return
	}
	var read takeoversContent
	if err := msgpack.Unmarshal(data, &read); err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.losses, t.silences, t.replicated = read.Takeovers, read.Losses, read.Silences, read.Replicated
}

// HostAnswered forgets what was taken over from a host that answers again, since it may take more records
// before it falls silent the next time, or that was removed.
func (v *Vault) HostAnswered(host string) {
	if v.takeovers.answered(host) {
		v.saveTakeovers()
	}
}

// saveTakeovers writes the takeovers and losses in the background.
func (v *Vault) saveTakeovers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return
	}
	v.saving.Go(func() {
		if err := v.takeovers.write(); err != nil {
			v.Log.Warn("takeovers not written", "error", err)
		}
	})
}

// Answers returns how often each host has answered after a silence, which TakeOver compares.
func (v *Vault) Answers() Answers { return v.takeovers.since() }

// Takeovers returns what this copy has taken over from other copies.
func (v *Vault) Takeovers() []jkledger.Takeover { return v.takeovers.all() }

// NoteLoss records that the other copies have what a host that is gone has acknowledged, and by which silence that is
// known. Its zero value stands for one that isn't known.
func (v *Vault) NoteLoss(host jkledger.GoneHost, silence jkledger.Silence) {
	if v.takeovers.confirm(host, silence) {
		v.saveTakeovers()
	}
}

// NoteReplicated records that the other copies have all reservations that a host that is gone has admitted.
func (v *Vault) NoteReplicated(host jkledger.GoneHost) {
	if v.takeovers.replicate(host) {
		v.saveTakeovers()
	}
}

// lossesTimeout bounds a call for the losses that another copy has confirmed.
const lossesTimeout = time.Second

// LossesOf returns what the copy at an address says of hosts that are gone.
func (v *Vault) LossesOf(ctx context.Context, addr string) (a jkledger.LossesAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, lossesTimeout)
	defer cancel()
	err = v.Pool.Call(ctx, addr, jkledger.TypeLosses, &jkledger.LossesRequest{}, &a)
	return a, err
}

// handleLosses says which losses this copy has confirmed and which silences its host sees.
func (v *Vault) handleLosses(s *jkwire.ServerStream) error {
	var a jkledger.LossesAnswer
	a.LostHosts, a.Silences = v.takeovers.confirmed()
	if v.Silences != nil {
		a.Seen = v.Silences()
	}
	return s.End(&a)
}

// LostHosts returns the hosts that are gone of which NoteLoss was told, also before a restart.
func (v *Vault) LostHosts() []jkledger.GoneHost { return v.takeovers.lost(&v.takeovers.losses) }

// ReplicatedHosts returns the hosts that are gone of which NoteReplicated was told, also before a restart.
func (v *Vault) ReplicatedHosts() []jkledger.GoneHost {
	return v.takeovers.lost(&v.takeovers.replicated)
}
