package jkchat

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// EventFinal is the name of the event that ends a stream to a caller. Its data is a
// Final.
const EventFinal = "jasmineknot"

// Final is the data of the final event. Length and Digest describe the text of
// the answer, so that a truncated stream is never mistaken for a complete one.
type Final struct {
	Outcome string `json:"outcome"`
	Token   string `json:"token"`
	Length  int    `json:"length"` // bytes of the text
	Digest  string `json:"digest"` // of the text, see TextDigest
}

// TextDigest is the 64-bit xxHash of a text as 16 hexadecimal digits. It
// detects damage, not forgery.
func TextDigest(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// Check returns an error unless a text is the complete answer that the event describes.
func (f Final) Check(text string) error {
	if f.Length != len(text) || f.Digest != TextDigest(text) {
		return fmt.Errorf("answer has %d bytes and digest %s, want %d and %s",
			len(text), TextDigest(text), f.Length, f.Digest)
	}
	return nil
}
