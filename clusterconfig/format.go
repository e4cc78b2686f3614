package clusterconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
)

// Formats of entries and snapshots, named by what each added.
const (
	formatInitial   = 1
	formatLostSites = 2
	formatFollowers = 3 // and epochs

	// Format is the newest format of entries and snapshots that this program reads.
	Format = formatFollowers
)

// ErrNewerFormat reports an entry or a snapshot that was written by a newer program. Skipping it would lose its
// content.
var ErrNewerFormat = errors.New("written in a newer format than this program knows: update it")

// ErrMalformed reports an entry or a snapshot that can't be decoded.
var ErrMalformed = errors.New("malformed")

// FormatForKey returns the oldest format that contains the kind of an object, by its key "kind/name".
func FormatForKey(key string) int {
	kind, _ := splitKey(key)
	return int(formatForKind(kind))
}

// formatForKind returns the oldest format that contains a kind. Entries are written in the oldest format possible, so
// that older programs in a cluster continue until the first entry that they cannot read.
func formatForKind(kind string) byte {
	switch kind {
	case KindLostSite:
		return formatLostSites
	case KindFollower, KindEpoch:
		return formatFollowers
	}
	return formatInitial
}

// objectKey returns an object's key in a [Tree].
func objectKey(kind, name string) []byte { return []byte(kind + "/" + name) }

// splitKey is the inverse of objectKey.
func splitKey(key string) (kind, name string) {
	kind, name, _ = strings.Cut(key, "/")
	return kind, name
}

// decodeStrict decodes a single JSON value and rejects unknown fields and trailing content.
func decodeStrict(text []byte, to any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(to); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("something follows")
	}
	return nil
}
