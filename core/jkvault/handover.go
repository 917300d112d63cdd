package jkvault

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkledger"
)

// HandOverError reports that too few other vaults have copied the records of one that is emptied.
type HandOverError struct {
	// Vaults is the number of vaults that have copied what they hold, and Groups the number of
	// groups that have all records. Both have to reach Needed, Groups as far as there are some.
	Vaults, Groups, Needed int
}

func (e *HandOverError) Error() string {
	return fmt.Sprintf("%d other copies in %d complete groups took the records, want %d", e.Vaults, e.Groups, e.Needed)
}

// errSealed is the answer to an entry that writes to a sealed copy.
var errSealed = errors.New("the copy is being removed and takes no more records")

// sealedMarker is the file that shows after a restart that the copy was sealed.
const sealedMarker = "sealed"

// Seal makes the copy refuse the records of entries, also after a restart. What it has acknowledged
// before is in the next HandOver.
func (v *Vault) Seal() error {
	if err := v.log.WriteMarker(sealedMarker); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sealed = true
	return nil
}

// Unseal makes a sealed copy take the records of entries again.
func (v *Vault) Unseal() error {
	if err := os.Remove(filepath.Join(v.Folder, sealedMarker)); err != nil {
		return eris.Wrap(err, "remove marker of the seal")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sealed = false
	return nil
}

// Sealed reports whether the copy refuses the records of entries.
func (v *Vault) Sealed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sealed
}

// HandOver asks the vaults at the addresses to copy the records of this one, which they reach at
// the address self. The vaults of one group hold all programs together, so that a group without
// one of its vaults has only a part of the records. It fails with a *HandOverError if fewer
// vaults than needed have copied, or if fewer groups are complete.
func (v *Vault) HandOver(ctx context.Context, self string, groups [][]string, needed int) error {
	vaults, complete := 0, 0
	for _, addrs := range groups {
		adopted := 0
		for _, addr := range addrs {
			if v.handOverTo(ctx, self, addr) {
				adopted++
			}
		}
		vaults += adopted
		if adopted > 0 && adopted == len(addrs) {
			complete++
		}
	}
	if vaults < needed || complete < min(needed, len(groups)) {
		return &HandOverError{Vaults: vaults, Groups: complete, Needed: needed}
	}
	return nil
}

// handOverTo asks the vault at an address to copy the records of this one, and reports whether it
// has.
func (v *Vault) handOverTo(ctx context.Context, self, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var answer jkledger.AdoptAnswer
	if err := v.Pool.Call(ctx, addr, jkledger.TypeAdopt, &jkledger.AdoptRequest{Addr: self}, &answer); err != nil {
		v.Log.Warn("records not handed over", "to", addr, "error", err)
		return false
	}
	v.Log.Info("records handed over", "to", addr, "records", answer.Records)
	return true
}
