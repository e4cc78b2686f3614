package raftnode

import (
	"errors"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func entry(index, term uint64, data string) *pb.Entry {
	return &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte(data)}
}

func hardState(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(vote), Commit: proto.Uint64(commit)}
}

func snapshotOf(index, term uint64, data string) *pb.Snapshot {
	return &pb.Snapshot{
		Data: []byte(data),
		Metadata: &pb.SnapshotMetadata{
			Index:     proto.Uint64(index),
			Term:      proto.Uint64(term),
			ConfState: &pb.ConfState{Voters: []uint64{1}},
		},
	}
}

// openStorage opens the file of member 1 of cluster "c".
func openStorage(t *testing.T, path string) *BoltStorage {
	t.Helper()
	storage, err := OpenBoltStorage(path, "c", 1)
	if err != nil {
		t.Fatal(err)
	}
	return storage
}

// must fails the test on an error.
func must(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

// Tests that saved state survives a restart: the newest hard state, a log whose tail was replaced, and a snapshot of
// the leader, which removes the entries of the earlier log.
func TestBoltStoragePersists(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "raft.db")
	storage := openStorage(t, path)
	reopen := func() PersistedState {
		t.Helper()
		must(t, storage.Close())
		storage = openStorage(t, path)
		persisted, err := storage.Load()
		if err != nil {
			t.Fatal(err)
		}
		return persisted
	}
	if p := reopen(); p.HardState != nil || p.Snapshot != nil || p.Entries != nil {
		t.Errorf("state in a new file: got %+v, want none", p)
	}
	must(t,
		storage.Save(hardState(1, 2, 0), []*pb.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}, nil, true),
		storage.Save(hardState(2, 3, 1), []*pb.Entry{entry(2, 2, "B")}, nil, true),
	)
	p := reopen()
	if len(p.Entries) != 2 || string(p.Entries[1].GetData()) != "B" || p.HardState.GetVote() != 3 {
		t.Errorf("state after replacing entry 2: got %+v, want 2 entries, the last \"B\", and a vote for 3", p)
	}
	must(t, storage.SaveSnapshot(snapshotOf(1, 1, "own")), storage.Compact(1))
	if p = reopen(); len(p.Entries) != 1 || string(p.Snapshot.GetData()) != "own" {
		t.Errorf("state after compaction: got %+v, want 1 entry and snapshot \"own\"", p)
	}
	must(t, storage.Save(hardState(3, 0, 9), nil, snapshotOf(1, 3, "leader's"), true))
	// The old entry 2 must not follow the snapshot in the log, although its index is the next one.
	must(t, storage.Save(hardState(3, 0, 1), nil, nil, true))
	if p = reopen(); len(p.Entries) != 0 || string(p.Snapshot.GetData()) != "leader's" {
		t.Errorf("state after the leader's snapshot: got %+v, want no entry and snapshot \"leader's\"", p)
	}
	must(t, storage.Close())
}

// writeSample writes a file of member 1 of cluster "c" with two entries and returns the file's content.
func writeSample(t *testing.T, path string) []byte {
	t.Helper()
	storage := openStorage(t, path)
	must(t,
		storage.Save(
			hardState(2, 1, 2), []*pb.Entry{entry(1, 1, "first entry"), entry(2, 2, "second entry")}, nil, true,
		),
		storage.SaveSnapshot(snapshotOf(0, 0, "nothing")),
		storage.Close(),
	)
	return readFile(t, path)
}

// Tests that a file that is already open, or that belongs to another member or cluster, is not opened.
func TestBoltStorageRejectsForeignFile(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "raft.db")
	writeSample(t, path)
	storage := openStorage(t, path)
	if _, err := OpenBoltStorage(path, "c", 1); err == nil {
		t.Error("second OpenBoltStorage of an open file: got no error")
	}
	must(t, storage.Close())
	for _, test := range []struct {
		name    string
		cluster string
		member  uint64
	}{
		{"another cluster", "other", 1},
		{"another member", "c", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := OpenBoltStorage(path, test.cluster, test.member); !errors.Is(err, ErrForeignFile) {
				t.Error(err)
			}
		})
	}
}

// loadCopy writes content to a new file and loads it. Each call uses a new file, since a file that has made bbolt panic
// stays locked in this process.
func loadCopy(t *testing.T, content []byte) (PersistedState, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "copy.db")
	writeFile(t, path, content)
	storage, err := OpenBoltStorage(path, "c", 1)
	if err != nil {
		return PersistedState{}, err
	}
	persisted, err := storage.Load()
	return persisted, errors.Join(err, storage.Close())
}

// Tests that a truncated file is rejected, or is loaded completely if the missing bytes were not in use. It must never
// be loaded as an empty one.
func TestBoltStorageDetectsTruncation(t *testing.T) {
	t.Parallel()
	content := writeSample(t, filepath.Join(t.TempDir(), "raft.db"))
	for _, length := range []int{0, 1, 100, 4096, 4097, len(content) / 2, len(content) - 1} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			if p, err := loadCopy(t, content[:length]); err == nil && (len(p.Entries) != 2 || length == 0) {
				t.Errorf("file truncated to %d of %d bytes: got %+v, want an error or both entries", length, len(content), p)
			}
		})
	}
}

// Tests that a file with a flipped bit is rejected, or is loaded unchanged if the bit is in a page that is not in use.
func TestBoltStorageDetectsBitFlips(t *testing.T) {
	t.Parallel()
	const stride = 67 // bytes between two flips
	content := writeSample(t, filepath.Join(t.TempDir(), "raft.db"))
	intact, err := loadCopy(t, content)
	if err != nil {
		t.Fatal(err)
	}
	detected := 0
	for i := 0; i < len(content); i += stride {
		flipped := append([]byte(nil), content...)
		flipped[i] ^= 0x10
		p, err := loadCopy(t, flipped)
		if err != nil {
			detected++
			continue
		}
		if !proto.Equal(p.HardState, intact.HardState) || len(p.Entries) != 2 ||
			!proto.Equal(p.Entries[0], intact.Entries[0]) || !proto.Equal(p.Entries[1], intact.Entries[1]) {
			t.Fatalf("bit flipped in byte %d: got %+v, want an error or the original state", i, p)
		}
	}
	if detected == 0 {
		t.Error("bit flips: none was detected")
	}
	t.Logf("%d flips found of %d", detected, len(content)/stride)
}

// Tests that a file whose status changed long after its member last wrote it is rejected, since it may be an old copy,
// until an operator adopts it.
func TestBoltStorageDetectsRestoredFile(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "raft.db")
	storage := openStorage(t, path)
	must(t, storage.Save(hardState(3, 2, 0), nil, nil, true), storage.Close())
	storage = openStorage(t, path)
	if storage.Incarnation() != 2 {
		t.Errorf("incarnation at the second opening: got %d, want 2", storage.Incarnation())
	}
	// Simulates a file that was last written an hour ago and copied to this path now.
	must(t, storage.db.Update(func(tx *bbolt.Tx) error {
		writtenAt := time.Now().Add(-time.Hour).UnixNano()
		return tx.Bucket(bucketMeta).Put(keyWrittenAt, encodeUint64(uint64(writtenAt)))
	}))
	must(t, storage.Close())
	if _, err := OpenBoltStorage(path, "c", 1); !errors.Is(err, ErrRestoredFile) {
		t.Fatalf("OpenBoltStorage of a restored file: got error %v, want ErrRestoredFile", err)
	}
	if err := AdoptFile(path, "c", 2); !errors.Is(err, ErrForeignFile) {
		t.Errorf("AdoptFile as another member: got error %v, want ErrForeignFile", err)
	}
	must(t, AdoptFile(path, "c", 1))
	storage = openStorage(t, path)
	if p, err := storage.Load(); err != nil || p.HardState.GetVote() != 2 {
		t.Errorf("adopted file: got %+v, error %v, want a vote for 2", p, err)
	}
	must(t, storage.Close())
}
