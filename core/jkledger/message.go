package jkledger

import "time"

// Message types between hosts and the copies of the ledger.
const (
	TypeReserve = "ledger_reserve"
	TypeWrite   = "ledger_write"
	TypeChain   = "ledger_chain"
	TypeSync    = "ledger_sync"
	TypeAdopt   = "ledger_adopt"
)

// ReserveRequest holds tokens for one request of a program.
type ReserveRequest struct {
	Spending Spending `msgpack:"spending"`
}

// ReserveAnswer is sent once the spending is on disk.
type ReserveAnswer struct {
	// Spendings are all of the program's, the new one included.
	Spendings []Spending `msgpack:"spendings"`
	// Certain is false while the copy may lack records that it had
	// acknowledged, after the loss of its disk.
	Certain bool `msgpack:"certain"`
}

// WriteRequest adds records. Its answer is sent once they are on disk, if Sync
// is set.
type WriteRequest struct {
	Records []Record `msgpack:"records"`
	Sync    bool     `msgpack:"sync"`
}

// WriteAnswer confirms a write.
type WriteAnswer struct{}

// ChainRequest asks for the turns that end with a request.
type ChainRequest struct {
	Request string `msgpack:"request"`
}

// ChainAnswer holds the known turns, the newest first.
type ChainAnswer struct {
	Turns []Turn `msgpack:"turns"`
	// Missing is the turn that isn't known, or empty if the chain is whole.
	Missing string `msgpack:"missing"`
	Certain bool   `msgpack:"certain"`
}

// SyncRequest asks for the records that the asking copy lacks. The answer is a
// series of SyncPart.
type SyncRequest struct {
	// Within limits the request to records that the answering copy has added in
	// the time before it; zero means all records.
	Within time.Duration `msgpack:"within"`
	// Have holds the keys of the records that the asking copy has.
	Have []uint64 `msgpack:"have"`
}

// SyncPart is one part of the records.
type SyncPart struct {
	Records []Record `msgpack:"records"`
	Certain bool     `msgpack:"certain"`
}

// AdoptRequest asks a copy to take over all records of the one at an address.
type AdoptRequest struct {
	Addr string `msgpack:"addr"`
}

// AdoptAnswer confirms that the records are on disk.
type AdoptAnswer struct {
	Records int `msgpack:"records"`
}
