package configstream

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// digestWordBytes is the length of one word of a [Digest] in bytes.
const digestWordBytes = 8

// Digest identifies the content of a version. It is the sum of the hashes of the version's objects, so that it can be
// updated from the changed objects alone (AdHash: M. Bellare and D. Micciancio, "A New Paradigm for Collision-Free
// Hashing: Incrementality at Reduced Cost", 1997). It detects corruption only; forgery is prevented by TLS on the
// connection.
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

// UnmarshalText decodes the form that MarshalText returns. The error wraps [ErrCorrupt].
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != digestWordBytes*len(d) {
		return fmt.Errorf("invalid digest %q: %w", text, ErrCorrupt)
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint64(b[digestWordBytes*i:])
	}
	return nil
}

// replace subtracts the hash of an object's old value from the digest and adds that of its current value. A nil value
// means that the object is absent.
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

// hashObject returns the SHA-256 hash of an object: the key's length, the key and the value.
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
