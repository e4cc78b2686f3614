package configstream

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// digestWordBytes is the length of one word of a [Digest].
const digestWordBytes = 8

// Digest identifies the content of a version. It is the sum of the hashes of its objects, so that it follows changes
// without a look at the rest: M. Bellare and D. Micciancio, "A New Paradigm for Collision-Free Hashing", 1997
// (AdHash). It protects against mistakes; the connection protects against forgery.
type Digest [4]uint64

// String returns the digest in hex.
func (d Digest) String() string {
	var b []byte
	for _, word := range d {
		b = binary.BigEndian.AppendUint64(b, word)
	}
	return hex.EncodeToString(b)
}

// MarshalText returns the digest in hex.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads what MarshalText wrote. An error wraps [ErrCorrupt].
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != digestWordBytes*len(d) {
		return fmt.Errorf("digest %q: %w", text, ErrCorrupt)
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint64(b[digestWordBytes*i:])
	}
	return nil
}

// replace removes an object's value from the digest and adds another one; nil stands for no value.
func (d *Digest) replace(key []byte, old, current json.RawMessage) {
	if old != nil {
		for i, word := range hashObject(key, old) {
			d[i] -= word
		}
	}
	if current != nil {
		for i, word := range hashObject(key, current) {
			d[i] += word
		}
	}
}

// hashObject returns the SHA-256 of a key with its length and a value.
func hashObject(key []byte, value json.RawMessage) (words Digest) {
	h := sha256.New()
	h.Write(binary.AppendUvarint(nil, uint64(len(key))))
	h.Write(key)
	h.Write(value)
	sum := h.Sum(nil)
	for i := range words {
		words[i] = binary.BigEndian.Uint64(sum[digestWordBytes*i:])
	}
	return words
}
