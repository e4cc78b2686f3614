package raftnode

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
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

func hard(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(vote), Commit: proto.Uint64(commit)}
}

func snap(index, term uint64, data string) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte(data), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(term), ConfState: &pb.ConfState{Voters: []uint64{1}}}}
}

func open(t *testing.T, path string) *BoltStorage {
	t.Helper()
	d, err := OpenBoltStorage(path, "c", 1)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// What was saved is there after a restart: the newest hard state, a log whose tail was
// replaced, and of a leader's snapshot nothing that it took the place of.
func TestBoltKeeps(t *testing.T) {
	path := filepath.Join(t.TempDir(), "raft.db")
	d := open(t, path)
	load := func() PersistedState {
		t.Helper()
		if err := d.Close(); err != nil {
			t.Fatal(err)
		}
		d = open(t, path)
		k, err := d.Load()
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	if k := load(); k.HardState != nil || k.Snapshot != nil || k.Entries != nil {
		t.Errorf("a new file holds %+v", k)
	}
	if err := errors.Join(d.Save(hard(1, 2, 0), []*pb.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}, nil, true),
		d.Save(hard(2, 3, 1), []*pb.Entry{entry(2, 2, "B")}, nil, true)); err != nil {
		t.Fatal(err)
	}
	k := load()
	if len(k.Entries) != 2 || string(k.Entries[1].GetData()) != "B" || k.HardState.GetVote() != 3 {
		t.Errorf("%+v", k)
	}
	if err := errors.Join(d.SaveSnapshot(snap(1, 1, "own")), d.Compact(1)); err != nil {
		t.Fatal(err)
	}
	if k = load(); len(k.Entries) != 1 || string(k.Snapshot.GetData()) != "own" {
		t.Errorf("%+v", k)
	}
	if err := d.Save(hard(3, 0, 9), nil, snap(1, 3, "leader's"), true); err != nil {
		t.Fatal(err)
	}
	// The old entry 2 must not stand behind the snapshot, though its index would fit.
	d2 := k
	if err := d.Save(hard(3, 0, 1), nil, nil, true); err != nil {
		t.Fatal(err)
	}
	if d2 = load(); len(d2.Entries) != 0 || string(d2.Snapshot.GetData()) != "leader's" {
		t.Errorf("%+v", d2)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
}

// A file of another member or cluster, one that is cut short and one in which a bit has
// flipped are told as such, and never taken for empty.
func TestBoltDamage(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "raft.db")
	d := open(t, path)
	if err := errors.Join(d.Save(hard(2, 1, 2), []*pb.Entry{entry(1, 1, "first entry"), entry(2, 2, "second entry")}, nil, true), d.SaveSnapshot(snap(0, 0, "nothing"))); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenBoltStorage(path, "c", 1); err == nil {
		t.Error("two have it open")
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	for _, who := range []struct {
		cluster string
		member  uint64
	}{{"other", 1}, {"c", 2}} {
		if _, err := OpenBoltStorage(path, who.cluster, who.member); !errors.Is(err, ErrForeignFile) {
			t.Errorf("%v: %v", who, err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	copies := 0
	state := func(text []byte) (PersistedState, error) {
		t.Helper()
		copies++ // each a file of its own: one that made bbolt panic stays locked in this process
		p := filepath.Join(dir, fmt.Sprint("copy", copies))
		if err := os.WriteFile(p, text, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := OpenBoltStorage(p, "c", 1)
		if err != nil {
			return PersistedState{}, err
		}
		k, err := d.Load()
		return k, errors.Join(err, d.Close())
	}
	whole, err := state(text)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{0, 1, 100, 4096, 4097, len(text) / 2, len(text) - 1} {
		if k, err := state(text[:n]); err == nil && (len(k.Entries) != 2 || n == 0) {
			t.Errorf("cut to %d of %d bytes: taken as %+v", n, len(text), k)
		}
	}
	found := 0
	for i := 0; i < len(text); i += 67 {
		flipped := append([]byte(nil), text...)
		flipped[i] ^= 0x10
		k, err := state(flipped)
		if err != nil {
			found++
			continue
		}
		// A flip in a page of no use changes nothing.
		if !proto.Equal(k.HardState, whole.HardState) || len(k.Entries) != 2 || !proto.Equal(k.Entries[0], whole.Entries[0]) || !proto.Equal(k.Entries[1], whole.Entries[1]) {
			t.Fatalf("a bit of byte %d flipped: taken as %+v", i, k)
		}
	}
	if found == 0 {
		t.Error("no flip was found")
	}
	t.Logf("%d flips found of %d", found, len(text)/67)
}

// A file whose status changed long after its member last wrote it was put there: it is an old
// copy, as far as can be known, until an operator says that it was only moved.
func TestBoltRestored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "raft.db")
	d := open(t, path)
	if err := errors.Join(d.Save(hard(3, 2, 0), nil, nil, true), d.Close()); err != nil {
		t.Fatal(err)
	}
	if d = open(t, path); d.Incarnation() != 2 {
		t.Errorf("%d starts", d.Incarnation())
	}
	// As if all of this had been written an hour ago and the file put here now.
	if err := d.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketMeta).Put(keyWritten, binary.BigEndian.AppendUint64(nil, uint64(time.Now().Add(-time.Hour).UnixNano())))
	}); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenBoltStorage(path, "c", 1); !errors.Is(err, ErrRestoredFile) {
		t.Fatalf("an old copy opens: %v", err)
	}
	if err := AdoptFile(path, "c", 2); !errors.Is(err, ErrForeignFile) {
		t.Errorf("another member's file is adopted: %v", err)
	}
	if err := AdoptFile(path, "c", 1); err != nil {
		t.Fatal(err)
	}
	d = open(t, path)
	if k, err := d.Load(); err != nil || k.HardState.GetVote() != 2 {
		t.Errorf("%+v, %v", k, err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
}
