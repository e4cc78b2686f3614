package scenario

import (
	"errors"
	"math/rand/v2"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinmux/internal/cluster"
	"mulleinmux/internal/raftnode"
)

// Fractions of messages and syncs that fail at a member under [Chaos].
const (
	dropShare       = 0.02
	repeatShare     = 0.02
	delayShare      = 0.04 // delayed by up to maxDelay, so that others overtake them
	failedSyncShare = 0.002
	reliableSyncs   = 100 // the first syncs succeed, so that a member can start

	maxDelay = 80 * time.Millisecond
)

// Chaos injects faults into a member, by a seed: messages to others are dropped, repeated or
// delayed and thereby reordered, and syncs of its disk fail.
func Chaos(cfg *cluster.MemberConfig, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, cfg.MemberID)) // used by the member's goroutine alone
	cfg.WrapSend = func(send func(*pb.Message)) func(*pb.Message) {
		return func(m *pb.Message) {
			switch x := rng.Float64(); {
			case x < dropShare:
				return
			case x < dropShare+repeatShare:
				send(m)
			case x < dropShare+repeatShare+delayShare:
				time.AfterFunc(time.Duration(rng.Int64N(int64(maxDelay))), func() { send(m) })
				return
			}
			send(m)
		}
	}
	cfg.WrapStorage = func(d raftnode.Storage) raftnode.Storage { return &faultyStorage{Storage: d, rng: rng} }
}

// faultyStorage is a storage whose syncs sometimes fail.
type faultyStorage struct {
	raftnode.Storage
	rng   *rand.Rand
	syncs int
}

// errInjectedSync is the error of an injected sync failure.
var errInjectedSync = errors.New("scenario: injected sync failure")

// Save implements [raftnode.Storage].
func (d *faultyStorage) Save(hs *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, sync bool) error {
	if d.syncs++; sync && d.syncs > reliableSyncs && d.rng.Float64() < failedSyncShare {
		return errInjectedSync
	}
	return d.Storage.Save(hs, entries, snap, sync)
}
