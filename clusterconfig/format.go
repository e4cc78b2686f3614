package clusterconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
)

// Formats of entries and snapshots, named after the objects that each added.
const (
	formatInitial   = 1
	formatLostSites = 2
	formatFollowers = 3 // and epochs

	// Format is the newest format of entries and snapshots that this program can read.
	Format = formatFollowers
)

// ErrNewerFormat reports an entry or a snapshot that was written by a newer program. It must not be skipped, since its
// content would be lost.
var ErrNewerFormat = errors.New("written in a newer format than this program supports: update the program")

// ErrMalformed reports an entry, a snapshot or a hash that cannot be decoded.
var ErrMalformed = errors.New("malformed")

// FormatForKey returns the oldest format that supports the kind of the object with a key, "kind/name".
func FormatForKey(key string) int {
	kind, _ := splitKey(key)
	return int(formatForKind(kind))
}

// formatForKind returns the oldest format that supports a kind. Entries are written in the oldest possible format, so
// that members with an older program continue to work until the first entry that they cannot read.
func formatForKind(kind string) byte {
	switch kind {
	case KindLostSite:
		return formatLostSites
	case KindFollower, KindEpoch:
		return formatFollowers
	}
	return formatInitial
}

// objectKey returns the key of an object in a [Tree].
func objectKey(kind, name string) []byte { return []byte(kind + "/" + name) }

// splitKey returns the kind and name of the object with a key.
func splitKey(key string) (kind, name string) {
	kind, name, _ = strings.Cut(key, "/")
	return kind, name
}

// decodeStrict decodes a single JSON value and rejects unknown fields and trailing content.
func decodeStrict(text []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("something follows")
	}
	return nil
}
