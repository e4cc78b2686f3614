package raftnode

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// Buckets and keys of the file. The package comment describes the file format.
var (
	bucketMeta  = []byte("meta")
	bucketState = []byte("state")
	bucketLog   = []byte("log")

	keyFormat      = []byte("format")
	keyCluster     = []byte("cluster")
	keyMember      = []byte("member")
	keyIncarnation = []byte("starts")
	keyWrittenAt   = []byte("written")

	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
	keyLastEntry = []byte("last")
)

// formatVersion is the newest format of the file that this program knows.
const formatVersion = 1

// Lengths of encoded values, in bytes.
const (
	uint32Bytes   = 4
	uint64Bytes   = 8
	checksumBytes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeUint64 encodes an index, or a number in the meta bucket. The encoding is big-endian, so that the byte order of
// the keys is the order of the indexes.
func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// putChecksummed stores an encoded message, preceded by its checksum.
func putChecksummed(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	value, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, checksumBytes), m)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(value, crc32.Checksum(value[checksumBytes:], castagnoli))
	return bucket.Put(key, value)
}

// decodeChecksummed verifies the checksum of a value that putChecksummed has stored, and decodes the value. Its errors
// wrap [ErrCorruptFile].
func decodeChecksummed(value []byte, m proto.Message) error {
	if len(value) < checksumBytes {
		return ErrCorruptFile
	}
	encoded := value[checksumBytes:]
	if binary.BigEndian.Uint32(value) != crc32.Checksum(encoded, castagnoli) {
		return ErrCorruptFile
	}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return fmt.Errorf("%w: %w", ErrCorruptFile, err)
	}
	return nil
}
