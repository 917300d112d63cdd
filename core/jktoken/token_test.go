package jktoken

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func keyring(t testing.TB, ids ...string) *Keyring {
	t.Helper()
	var keys []Key
	for _, id := range ids {
		keys = append(keys, Key{ID: id, Secret: bytes.Repeat([]byte(id), 16)})
	}
	r, err := NewKeyring(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func ExampleKeyring_Sign() {
	r, _ := NewKeyring([]Key{{ID: "k1", Secret: []byte("0123456789abcdef")}})
	token, _ := r.Sign(Claims{Program: "p1", Turn: 3})
	claims, _ := r.Verify(token)
	fmt.Println(claims.Program, claims.Turn)
	// Output: p1 3
}

// Guards against a token that is accepted after its caller has changed it.
func TestVerifyRefusesChangedTokens(t *testing.T) {
	r := keyring(t, "a")
	token, err := r.Sign(Claims{Program: "p", Workspace: "w", Turn: 1})
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		i := rapid.IntRange(0, len(token)-1).Draw(rt, "position")
		b := rapid.Byte().Draw(rt, "byte")
		if token[i] == b {
			return
		}
		changed := token[:i] + string([]byte{b}) + token[i+1:]
		if _, err := r.Verify(changed); err == nil {
			// The last base64 digit holds unused bits, so a change there
			// can decode to the same signature.
			if i != len(token)-1 && i != strings.LastIndexByte(token, '.')-1 {
				rt.Fatalf("accepted %q", changed)
			}
		}
	})
}

// Guards against key rotation that invalidates tokens in use, and against a removed key
// that still verifies tokens.
func TestKeyRotation(t *testing.T) {
	token, err := keyring(t, "a").Sign(Claims{Program: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := keyring(t, "b", "a").Verify(token); err != nil {
		t.Fatalf("token of the old key refused: %v", err)
	}
	_, err = keyring(t, "b").Verify(token)
	var invalid *InvalidError
	if !errors.As(err, &invalid) || invalid.Reason != ReasonUnknownKey {
		t.Fatalf("got %v, want %s", err, ReasonUnknownKey)
	}
}
