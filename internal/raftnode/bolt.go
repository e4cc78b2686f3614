package raftnode

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The file of a member is a bbolt database with three buckets. Each value but those of
// meta is a CRC-32C (Castagnoli) of the rest, big-endian, and a protocol buffer.
//
//	meta  format (4 bytes), cluster (text), member (8 bytes), starts (8 bytes: how often the
//	      file was opened), written (8 bytes: Unix time of the last change, in ns)
//	state hard: HardState; snapshot: Snapshot; last: an Entry with the index of the log's
//	      last, so that a tail that is not there is missed
//	log   index (8 bytes, big-endian): Entry
var (
	bucketMeta  = []byte("meta")
	bucketState = []byte("state")
	bucketLog   = []byte("log")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	keyLast     = []byte("last")
	keyStarts   = []byte("starts")
	keyWritten  = []byte("written")
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// restoredAfter is how much later than its last write a file's status may have changed (its
// ctime, which nobody can set).
const restoredAfter = 30 * time.Second

// boltFormat is the newest format of the file that this program knows.
const boltFormat = 1

// Errors of a file. Neither is got over by starting empty under the old identity: a member
// that has forgotten its vote could vote twice. See docs/operators/cluster.md.
var (
	ErrCorruptFile = errors.New("the file is damaged: move it away and let this member join again under a new number")
	ErrForeignFile = errors.New("the file belongs to another member or cluster")
	// ErrRestoredFile says that a file was put in its place after it was last written: an old
	// copy may lack votes and entries that the member has promised to others.
	ErrRestoredFile = errors.New("the file was changed or put here after its member last wrote it: if it is an old copy, let this member join again under a new number; if it is the newest, moved here, say so with gateway init --adopt")
)

// BoltStorage is a [Storage] in one file.
type BoltStorage struct {
	db     *bbolt.DB
	starts uint64
}

// OpenBoltStorage opens a member's file, or makes one. A file that is damaged in any part, or that
// belongs to another member or cluster, is an error.
func OpenBoltStorage(path, cluster string, member uint64) (*BoltStorage, error) {
	return openBolt(path, cluster, member, false)
}

// AdoptFile takes a file that was moved for the newest of its member, which then opens.
func AdoptFile(path, cluster string, member uint64) error {
	d, err := openBolt(path, cluster, member, true)
	if err != nil {
		return err
	}
	return d.Close()
}

func openBolt(path, cluster string, member uint64, adopt bool) (d *BoltStorage, err error) {
	defer damage(&err, path)()
	info, statErr := os.Stat(path)
	isNew := errors.Is(statErr, os.ErrNotExist)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		if !isNew {
			return nil, fmt.Errorf("%s: %w: %w", path, ErrCorruptFile, err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	d = &BoltStorage{db: db}
	if isNew {
		err = d.create(cluster, member)
	} else {
		err = d.verify(cluster, member)
		if err == nil && !adopt {
			err = d.original(info)
		}
	}
	if err == nil {
		err = d.update(func(tx *bbolt.Tx) error {
			m := tx.Bucket(bucketMeta)
			if text := m.Get(keyStarts); len(text) == 8 {
				d.starts = binary.BigEndian.Uint64(text)
			}
			d.starts++
			return m.Put(keyStarts, binary.BigEndian.AppendUint64(nil, d.starts))
		})
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return d, nil
}

// damage has what a damaged file does to its reader (bbolt panics on pages that can't be, and
// a map of a file that is cut short faults) end as an error. Use: defer damage(&err, path)().
func damage(err *error, path string) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%s: %w: %v", path, ErrCorruptFile, p)
		}
	}
}

// original tells whether a file is where its member wrote it last.
func (d *BoltStorage) original(info os.FileInfo) error {
	st, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return nil // no such system: peers' memory of the member's starts is what is left
	}
	var written []byte
	if err := d.db.View(func(tx *bbolt.Tx) error {
		written = slices.Clone(tx.Bucket(bucketMeta).Get(keyWritten))
		return nil
	}); err != nil {
		return err
	}
	if len(written) != 8 {
		return ErrCorruptFile
	}
	last, changed := time.Unix(0, int64(binary.BigEndian.Uint64(written))), time.Unix(st.Ctim.Unix())
	if changed.Sub(last) > restoredAfter {
		return fmt.Errorf("written %s, changed %s: %w", last.UTC().Format(time.RFC3339), changed.UTC().Format(time.RFC3339), ErrRestoredFile)
	}
	return nil
}

// Incarnation is how often the file was opened, this time included.
func (d *BoltStorage) Incarnation() uint64 { return d.starts }

// update is a transaction that notes when it was.
func (d *BoltStorage) update(f func(tx *bbolt.Tx) error) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		if err := f(tx); err != nil {
			return err
		}
		return tx.Bucket(bucketMeta).Put(keyWritten, binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixNano())))
	})
}

func (d *BoltStorage) create(cluster string, member uint64) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketMeta, bucketState, bucketLog} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		m := tx.Bucket(bucketMeta)
		return errors.Join(m.Put([]byte("format"), binary.BigEndian.AppendUint32(nil, boltFormat)), m.Put([]byte("cluster"), []byte(cluster)),
			m.Put([]byte("member"), binary.BigEndian.AppendUint64(nil, member)))
	})
}

func (d *BoltStorage) verify(cluster string, member uint64) error {
	return d.db.View(func(tx *bbolt.Tx) error {
		// bbolt's own check runs in a goroutine whose faults end the process; Load reads and sums
		// all that counts instead.
		m := tx.Bucket(bucketMeta)
		if m == nil || tx.Bucket(bucketState) == nil || tx.Bucket(bucketLog) == nil || len(m.Get([]byte("format"))) != 4 || len(m.Get([]byte("member"))) != 8 {
			return ErrCorruptFile
		}
		if f := binary.BigEndian.Uint32(m.Get([]byte("format"))); f > boltFormat {
			return fmt.Errorf("format %d is newer than this program knows: update it", f)
		}
		if c, n := string(m.Get([]byte("cluster"))), binary.BigEndian.Uint64(m.Get([]byte("member"))); c != cluster || n != member {
			return fmt.Errorf("%w: member %d of %q, not %d of %q", ErrForeignFile, n, c, member, cluster)
		}
		return nil
	})
}

// Load reads all that is kept, and checks every sum and that no entry is missing.
func (d *BoltStorage) Load() (k PersistedState, err error) {
	defer damage(&err, d.db.Path())()
	err = d.db.View(func(tx *bbolt.Tx) error {
		state := tx.Bucket(bucketState)
		last := &pb.Entry{}
		if err := state.ForEach(func(key, text []byte) error {
			if string(key) == string(keyLast) {
				return unseal(text, last)
			}
			if string(key) != string(keyHard) && string(key) != string(keySnapshot) {
				return fmt.Errorf("state %q: %w", key, ErrCorruptFile)
			}
			return nil
		}); err != nil {
			return err
		}
		if text := state.Get(keyHard); text != nil {
			k.HardState = &pb.HardState{}
			if err := unseal(text, k.HardState); err != nil {
				return fmt.Errorf("hard state: %w", err)
			}
		}
		after := uint64(0)
		if text := state.Get(keySnapshot); text != nil {
			k.Snapshot = &pb.Snapshot{}
			if err := unseal(text, k.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
			after = k.Snapshot.GetMetadata().GetIndex()
		}
		c := tx.Bucket(bucketLog).Cursor()
		next := after + 1
		for key, text := c.Seek(binary.BigEndian.AppendUint64(nil, next)); key != nil; key, text = c.Next() {
			e := &pb.Entry{}
			if err := unseal(text, e); err != nil {
				return fmt.Errorf("entry %x: %w", key, err)
			}
			if e.GetIndex() != next || binary.BigEndian.Uint64(key) != next {
				return fmt.Errorf("entry %d is missing: %w", next, ErrCorruptFile)
			}
			next++
			k.Entries = append(k.Entries, e)
		}
		if k.HardState == nil && (k.Snapshot != nil || len(k.Entries) > 0 || last.GetIndex() > 0) {
			return fmt.Errorf("the hard state is missing: %w", ErrCorruptFile)
		}
		if next <= last.GetIndex() {
			return fmt.Errorf("the log ends at %d, not at %d: %w", next-1, last.GetIndex(), ErrCorruptFile)
		}
		if k.HardState.GetCommit() >= next {
			return fmt.Errorf("entries up to %d were committed, and %d is missing: %w", k.HardState.GetCommit(), next, ErrCorruptFile)
		}
		return nil
	})
	return k, err
}

// Save writes one transaction, which bbolt syncs before it returns. What needs no sync (a
// commit index alone) is not written: it is learned again from the leader.
func (d *BoltStorage) Save(hs *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, sync bool) error {
	if !sync {
		return nil
	}
	return d.update(func(tx *bbolt.Tx) error {
		state, log := tx.Bucket(bucketState), tx.Bucket(bucketLog)
		if snap != nil {
			if err := seal(state, keySnapshot, snap); err != nil {
				return err
			}
			if err := cut(log, func(uint64) bool { return true }); err != nil {
				return err
			}
			if err := seal(state, keyLast, &pb.Entry{Index: proto.Uint64(snap.GetMetadata().GetIndex())}); err != nil {
				return err
			}
		}
		if hs != nil {
			if err := seal(state, keyHard, hs); err != nil {
				return err
			}
		}
		if len(entries) > 0 { // they replace what stood from the first of them on
			first := entries[0].GetIndex()
			c := log.Cursor()
			for k, _ := c.Seek(binary.BigEndian.AppendUint64(nil, first)); k != nil; k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		for _, e := range entries {
			if err := seal(log, binary.BigEndian.AppendUint64(nil, e.GetIndex()), e); err != nil {
				return err
			}
		}
		if n := len(entries); n > 0 {
			return seal(state, keyLast, &pb.Entry{Index: proto.Uint64(entries[n-1].GetIndex())})
		}
		return nil
	})
}

// SaveSnapshot keeps a snapshot of the member's own.
func (d *BoltStorage) SaveSnapshot(snap *pb.Snapshot) error {
	return d.update(func(tx *bbolt.Tx) error { return seal(tx.Bucket(bucketState), keySnapshot, snap) })
}

// Compact drops entries up to an index.
func (d *BoltStorage) Compact(index uint64) error {
	return d.update(func(tx *bbolt.Tx) error {
		return cut(tx.Bucket(bucketLog), func(i uint64) bool { return i <= index })
	})
}

// cut drops the entries at the log's beginning for which gone holds.
func cut(log *bbolt.Bucket, gone func(uint64) bool) error {
	c := log.Cursor()
	for k, _ := c.First(); k != nil && gone(binary.BigEndian.Uint64(k)); k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file.
func (d *BoltStorage) Close() error { return d.db.Close() }

func seal(b *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 4), m)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(text, crc32.Checksum(text[4:], castagnoli))
	return b.Put(key, text)
}

func unseal(text []byte, m proto.Message) error {
	if len(text) < 4 || binary.BigEndian.Uint32(text) != crc32.Checksum(text[4:], castagnoli) {
		return ErrCorruptFile
	}
	if err := proto.Unmarshal(text[4:], m); err != nil {
		return fmt.Errorf("%w: %w", ErrCorruptFile, err)
	}
	return nil
}
