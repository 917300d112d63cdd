// Package jktoken signs and verifies continuation tokens. A token names the incarnation
// that runs a program and the last turn that the caller has seen, so that any host can
// route a request without a directory of programs. Tokens are signed, not encrypted,
// and don't expire; whether a token is stale is decided by the program's home.
package jktoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// claimsVersion is the value of Claims.Version in new tokens. Raise it when the meaning
// of a claim changes; tokens of any other version are refused.
const claimsVersion = 1

// maxTokenBytes bounds a token before it is decoded, well above the longest valid one.
const maxTokenBytes = 2048

// Incarnation identifies one start of the daemon on a host.
type Incarnation struct {
	_msgpack struct{} `msgpack:",as_array"`

	Host  string `msgpack:"host"`
	Start uint64 `msgpack:"start"`
}

// String returns the form host@start, with the start number in base 36.
func (i Incarnation) String() string {
	return i.Host + "@" + strconv.FormatUint(i.Start, 36)
}

// IsZero reports whether the incarnation is unset.
func (i Incarnation) IsZero() bool { return i.Host == "" }

// ParseIncarnation reads the form that String returns.
func ParseIncarnation(s string) (Incarnation, error) {
	host, start, ok := strings.Cut(s, "@")
	if !ok || host == "" {
		return Incarnation{}, eris.Errorf("incarnation %q: want host@start", s)
	}
	n, err := strconv.ParseUint(start, 36, 64)
	if err != nil {
		return Incarnation{}, eris.Wrapf(err, "incarnation %q: start number", s)
	}
	return Incarnation{Host: host, Start: n}, nil
}

// Claims is the signed content of a token.
type Claims struct {
	Version   int         `msgpack:"version"`
	Program   string      `msgpack:"program"`
	Workspace string      `msgpack:"workspace"`
	Home      Incarnation `msgpack:"home"`
	Epoch     uint64      `msgpack:"epoch"`
	Turn      uint64      `msgpack:"turn"`
	// Digest is the digest of the history up to Turn.
	Digest string `msgpack:"digest"`
	// BudgetGranted is the number of tokens that the home may have spent.
	BudgetGranted int64 `msgpack:"budget_granted"`
	// Copies names the hosts that hold copies of the history.
	Copies []string `msgpack:"copies"`
}

// Reason is why a token was refused.
type Reason string

// Reasons for which Verify refuses a token.
const (
	ReasonMalformed  Reason = "malformed"
	ReasonUnknownKey Reason = "unknown_key"
	ReasonForged     Reason = "forged"
	ReasonVersion    Reason = "unsupported_version"
)

// InvalidError is returned for a token that no key of the keyring has signed or that
// can't be decoded.
type InvalidError struct {
	Reason Reason
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("program token is invalid: %s", e.Reason)
}

// Key is one HMAC key of the settings. Its id is the first part of each token that it
// signs.
type Key struct {
	ID     string
	Secret []byte
}

// Keyring signs with its first key and verifies with all of them, so that keys can be
// rotated without invalidating the tokens that callers hold.
type Keyring struct {
	keys []Key
}

// NewKeyring returns a keyring of at least one key. Ids must be unique, non-empty and
// without dots, and secrets must have at least 16 bytes.
func NewKeyring(keys []Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, eris.New("token keys: at least one key is needed")
	}
	seen := map[string]bool{}
	for _, k := range keys {
		if k.ID == "" || strings.Contains(k.ID, ".") {
			return nil, eris.Errorf("token key id %q: must be non-empty without dots", k.ID)
		}
		if seen[k.ID] {
			return nil, eris.Errorf("token key id %q: used twice", k.ID)
		}
		if len(k.Secret) < 16 {
			return nil, eris.Errorf("token key %q: secret has %d bytes, want at least 16", k.ID, len(k.Secret))
		}
		seen[k.ID] = true
	}
	return &Keyring{keys: keys}, nil
}

// Sign encodes the claims as key id, body and HMAC-SHA256, joined by dots. It sets
// Claims.Version.
func (r *Keyring) Sign(c Claims) (string, error) {
	c.Version = claimsVersion
	body, err := msgpack.Marshal(&c)
	if err != nil {
		return "", eris.Wrap(err, "encode token")
	}
	key := r.keys[0]
	text := key.ID + "." + base64.RawURLEncoding.EncodeToString(body)
	return text + "." + base64.RawURLEncoding.EncodeToString(computeMAC(key.Secret, text)), nil
}

// Verify checks the signature and returns the claims. Every error wraps an
// *InvalidError.
func (r *Keyring) Verify(token string) (Claims, error) {
	parts := strings.Split(token, ".")
	if len(parts) != 3 || len(token) > maxTokenBytes {
		return Claims{}, invalid(ReasonMalformed)
	}
	secret, ok := r.secret(parts[0])
	if !ok {
		return Claims{}, invalid(ReasonUnknownKey)
	}
	sum, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil {
		return Claims{}, invalid(ReasonMalformed)
	}
	if !hmac.Equal(sum, computeMAC(secret, parts[0]+"."+parts[1])) {
		return Claims{}, invalid(ReasonForged)
	}
	return decode(parts[1])
}

func decode(text string) (Claims, error) {
	body, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Claims{}, invalid(ReasonMalformed)
	}
	var c Claims
	if err := msgpack.Unmarshal(body, &c); err != nil {
		return Claims{}, invalid(ReasonMalformed)
	}
	if c.Version != claimsVersion {
		return Claims{}, invalid(ReasonVersion)
	}
	return c, nil
}

func (r *Keyring) secret(id string) ([]byte, bool) {
	for _, k := range r.keys {
		if k.ID == id {
			return k.Secret, true
		}
	}
	return nil, false
}

func computeMAC(secret []byte, text string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(text))
	return h.Sum(nil)
}

func invalid(r Reason) error {
	return eris.Wrap(&InvalidError{Reason: r}, "verify token")
}
