package jkledger

import (
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Holdings says what the copies of a program counted when they had recorded a reservation. It is kept as a settled spending
// without tokens, so that hosts of builds that don't know it hand it on.
type Holdings struct {
	// At is when the reservation was begun. The copies recorded it later, and may drop that before it is settled.
	At time.Time
	// Tokens holds by HolderName how many tokens the copy counted at least.
	Tokens map[string]int64
	// Requests are the requests whose spendings the copies had.
	Requests []string
}

// HolderName names a copy in Holdings: by its host, and by its disk if it says that. A host without the disk that it had counts
// nothing of what that one recorded.
func HolderName(host, disk string) string {
	if disk == "" {
		return host
	}
	return host + "/" + disk
}

// holdingsPrefix begins the request of a spending that is a Holdings. No header of a caller can hold it.
const holdingsPrefix = "\x00holdings\x00"

// Spending returns the spending that says the holdings at the settlement of a reservation.
func (h *Holdings) Spending(program, reservation string, retention time.Duration) Spending {
	holders := make([]string, 0, len(h.Tokens))
	for _, holder := range slices.Sorted(maps.Keys(h.Tokens)) {
		holders = append(holders, holder+"="+strconv.FormatInt(h.Tokens[holder], 10))
	}
	hashes := make([]byte, 0, requestHashSize*len(h.Requests))
	for _, request := range h.Requests {
		hashes = binary.BigEndian.AppendUint32(hashes, hashRequest(request))
	}
	name := holdingsPrefix + strings.Join([]string{strconv.FormatInt(h.At.UnixMilli(), 10), strings.Join(holders, " "), hex.EncodeToString(hashes), reservation}, "\x00")
	return Spending{Program: program, Request: name, Settled: true, Retention: retention}
}

// requestHashSize is the size of the hash of a request in bytes.
const requestHashSize = 4

func hashRequest(request string) uint32 { return uint32(xxhash.Sum64String(request)) }

// HeldBy returns how many tokens the copy with a HolderName is known to count by the spendings of a program. Holdings say nothing
// without a spending that the copies had, as these may have been granted by one of them alone, nor once the copy may have
// dropped what it had.
func HeldBy(holder string, all []Spending, now time.Time) int64 {
	var known map[uint32]bool
	most := int64(0)
	for _, s := range all {
		at, holders, hashes, ok := parseHoldings(s)
		if !ok || now.Sub(at).Abs() > s.Retention/2 {
			continue
		}
		if known == nil {
			known = make(map[uint32]bool, len(all))
			for _, other := range all {
				known[hashRequest(other.Request)] = true
			}
		}
		if tokens := tokensOf(holder, holders); tokens > most && knowsAll(known, hashes) {
			most = tokens
		}
	}
	return most
}

// IsHoldings reports whether a spending says holdings.
func IsHoldings(s Spending) bool { return strings.HasPrefix(s.Request, holdingsPrefix) }

func parseHoldings(s Spending) (at time.Time, holders string, hashes []byte, ok bool) {
	content, ok := strings.CutPrefix(s.Request, holdingsPrefix)
	parts := strings.SplitN(content, "\x00", 4)
	if !ok || len(parts) < 4 {
		return time.Time{}, "", nil, false
	}
	ms, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return time.Time{}, "", nil, false
	}
	hashes, err = hex.DecodeString(parts[2])
	return time.UnixMilli(ms), parts[1], hashes, err == nil && len(hashes)%requestHashSize == 0
}

func tokensOf(holder, holders string) int64 {
	for _, part := range strings.Split(holders, " ") {
		if tokens, ok := strings.CutPrefix(part, holder+"="); ok {
			// What can't be read says nothing.
			n, _ := strconv.ParseInt(tokens, 10, 64)
			return n
		}
	}
	return 0
}

func knowsAll(known map[uint32]bool, hashes []byte) bool {
	for one := range slices.Chunk(hashes, requestHashSize) {
		if !known[binary.BigEndian.Uint32(one)] {
			return false
		}
	}
	return true
}
