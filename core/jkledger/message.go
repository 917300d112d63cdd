package jkledger

import (
	"slices"
	"time"
)

// Message types that a copy of the ledger answers.
const (
	// TypeReserve sends a ReserveRequest.
	TypeReserve = "ledger_reserve"
	// TypeWrite sends a WriteRequest.
	TypeWrite = "ledger_write"
	// TypeChain sends a ChainRequest.
	TypeChain = "ledger_chain"
	// TypeSync sends a SyncRequest.
	TypeSync = "ledger_sync"
	// TypeAdopt sends an AdoptRequest.
	TypeAdopt = "ledger_adopt"
	// TypeKeys sends a KeysRequest.
	TypeKeys = "ledger_keys"
	// TypeLosses sends a LossesRequest.
	TypeLosses = "ledger_losses"
)

// ReserveRequest reserves tokens of a program's budget for one request.
type ReserveRequest struct {
	Spending Spending `msgpack:"spending"`
	// Unreplicated is set if the reservation, which the copy has recorded, is admitted without a majority of the
	// copies. The copy keeps that others may lack it.
	Unreplicated bool `msgpack:"unreplicated,omitempty"`
	// Marks is set by entries that send Unreplicated. What others reserve counts as admitted without a majority.
	Marks bool `msgpack:"marks,omitempty"`
}

// ReserveAnswer is sent once the spending is on disk.
type ReserveAnswer struct {
	// Spendings holds all spendings of the program, including the new one.
	Spendings []Spending `msgpack:"spendings"`
	// Certain is false while the copy may lack records that it has acknowledged,
	// because it lost its disk.
	Certain bool `msgpack:"certain"`
	// Behind is set while the copy may lack records that others have added while it was
	// down or out of reach.
	Behind bool `msgpack:"behind,omitempty"`
	// Abandoned are the requests of Spendings that aren't settled and whose entry has probably ended: the connection
	// over which the copy was sent the reservation is closed, or the copy has started since.
	Abandoned []string `msgpack:"abandoned,omitempty"`
	// Disk names the disk of the copy. Copies of earlier releases don't say it.
	Disk   string `msgpack:"disk,omitempty"`
	Losses `msgpack:",inline"`
}

// Losses are the hosts of other copies that don't answer the host of the answering copy.
type Losses struct {
	// Unlisted is set while the copy's host hasn't read the list of hosts, so that it says nothing of the others.
	Unlisted bool `msgpack:"unlisted,omitempty"`
	// Confirmed are the hosts that fell silent alone, while their zone went on answering, and from which the
	// answering copy has copied since they were out of reach before. The other copies have what they admitted.
	Confirmed []string `msgpack:"settled_losses,omitempty"`
	// Unobserved are the hosts of which the copy's host can't tell: they haven't answered since it started, or it
	// started or was paused too shortly before their last answer.
	Unobserved []string `msgpack:"never_reached,omitempty"`
	// Replicated are the silent hosts that said with their last answer that others have all reservations that they
	// have admitted, and whose zone has answered ever since. Unlike Confirmed, this says nothing of turns.
	Replicated []string `msgpack:"replicated,omitempty"`
	// UnobservedReplicated are the silent hosts that said so with their last answer, and of which the copy's host can't
	// tell more. It hasn't copied from them since an earlier silence, so that it may lack turns of theirs.
	UnobservedReplicated []string `msgpack:"unobserved_replicated,omitempty"`
	// Returned are the hosts that are back, but from which the answering copy hasn't copied since.
	Returned []Return `msgpack:"returned,omitempty"`
}

// Return is a host that is back after a silence.
type Return struct {
	Host string `msgpack:"host"`
	// Since is how long ago the host last answered before.
	Since time.Duration `msgpack:"since"`
}

// WriteRequest adds records to a copy.
type WriteRequest struct {
	Records []Record `msgpack:"records"`
	// Sync makes the copy answer only once the records are on disk.
	Sync bool `msgpack:"sync"`
}

// WriteAnswer confirms a WriteRequest.
type WriteAnswer struct{}

// ChainRequest asks for the chain of turns that ends with the turn of a request.
type ChainRequest struct {
	Request string `msgpack:"request"`
}

// ChainAnswer holds the known turns of a chain, the newest first.
type ChainAnswer struct {
	Turns []Turn `msgpack:"turns"`
	// Missing is the request of the turn that isn't known, or empty if the chain is
	// complete.
	Missing string `msgpack:"missing"`
	// Certain has the meaning of ReserveAnswer.Certain.
	Certain bool `msgpack:"certain"`
	Losses  `msgpack:",inline"`
}

// SyncRequest asks a copy for the records that the requesting copy lacks. The answer is
// a series of SyncPart messages.
type SyncRequest struct {
	// Within limits the answer to the records that the answering copy has added within
	// this time before the request. Zero means all records.
	Within time.Duration `msgpack:"within"`
	// Have holds the keys of the records that the requesting copy has.
	Have []uint64 `msgpack:"have"`
	// Gone limits the answer to the programs that the requesting copy has taken over from
	// these hosts. Empty means all programs that it holds.
	Gone []string `msgpack:"gone,omitempty"`
	// Neighbours are other hosts of the requesting copy's zone. The answer includes what they
	// hold, except for the records with the keys in NeighboursHave.
	Neighbours     []string `msgpack:"neighbours,omitempty"`
	NeighboursHave []uint64 `msgpack:"neighbours_have,omitempty"`
}

// SyncPart is one part of the records that answer a SyncRequest.
type SyncPart struct {
	Records []Record `msgpack:"records"`
	// Certain has the meaning of ReserveAnswer.Certain, for the answering copy.
	Certain bool `msgpack:"certain"`
	// Recovered is set in the last part of a copy that had lost its records before its latest start.
	Recovered bool `msgpack:"recovered,omitempty"`
	// Takeovers are what the answering copy has taken over. Only the last part has them, and none of
	// earlier releases.
	Takeovers []Takeover `msgpack:"takeovers,omitempty"`
	// LostHosts are hosts that are gone whose loss the answering copy has confirmed as harmless: they fell
	// silent alone, and it had copied from them.
	LostHosts []GoneHost `msgpack:"lost_hosts,omitempty"`
	// Silences are those of LostHosts.
	Silences []Silence `msgpack:"silences,omitempty"`
}

// Silence is that a host doesn't answer another one. It is the same one as long as all fields are equal.
type Silence struct {
	Host   string `msgpack:"host"`
	SeenBy string `msgpack:"seen_by"`
	// LastAnswer is when the host last answered, in nanoseconds by the clock of SeenBy, with which other clocks aren't
	// compared.
	LastAnswer int64 `msgpack:"last_answer"`
}

// GoneHost is a host that is gone, with the revision at which it wrote its entry in the store last. One that
// has started again since has another one.
type GoneHost struct {
	Host      string `msgpack:"host"`
	Announced int64  `msgpack:"announced"`
	// Suspected is set in a Takeover that began after the host's entry was marked. By then no entry reaches the host.
	Suspected bool `msgpack:"suspected,omitempty"`
}

// Takeover is that a copy has copied the programs that it holds because hosts of its zone are gone, from
// other copies that were certain at the time. For hosts of other zones, it has copied all programs that it holds.
type Takeover struct {
	Gone []GoneHost `msgpack:"gone"`
	From []string   `msgpack:"from"`
	// Silences are the silences of these hosts of which hosts of other zones told the copy before it copied. None of
	// earlier releases has them.
	Silences []Silence `msgpack:"silences,omitempty"`
}

// Covers reports whether the copy has taken over what a host had of the programs of hosts that are gone, after
// they were marked for those with Suspected.
func (t Takeover) Covers(gone []GoneHost, from string) bool {
	isMissing := func(host GoneHost) bool {
		return !slices.ContainsFunc(t.Gone, func(known GoneHost) bool {
			return known.Host == host.Host && known.Announced == host.Announced && (known.Suspected || !host.Suspected)
		})
	}
	return slices.Contains(t.From, from) && !slices.ContainsFunc(gone, isMissing)
}

// AdoptRequest asks a copy to copy all records of the copy at an address.
type AdoptRequest struct {
	// Addr is the address of the copy whose records are copied.
	Addr string `msgpack:"addr"`
}

// AdoptAnswer confirms that the records are on disk.
type AdoptAnswer struct {
	// Records is the number of records that were copied.
	Records int `msgpack:"records"`
}

// LossesRequest asks a copy which losses it has confirmed and which silences its host sees.
type LossesRequest struct{}

// LossesAnswer holds LostHosts and Silences as in SyncPart.
type LossesAnswer struct {
	LostHosts []GoneHost `msgpack:"lost_hosts,omitempty"`
	Silences  []Silence  `msgpack:"silences,omitempty"`
	// Seen are the silences that the copy's host sees at the moment. None of earlier releases has them.
	Seen []Silence `msgpack:"seen,omitempty"`
}

// KeysRequest asks a copy which records it has.
type KeysRequest struct{}

// KeysAnswer holds the keys of all records of a copy.
type KeysAnswer struct {
	Keys []uint64 `msgpack:"keys"`
	// Certain has the meaning of ReserveAnswer.Certain.
	Certain bool `msgpack:"certain"`
}
