package raftnode

import (
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// BenchmarkCommit measures the latency of a change in a cluster of three members on loopback, proposed by one operator
// and by 64, and, for comparison, the latency of one synced bbolt commit on the same file system.
func BenchmarkCommit(b *testing.B) {
	b.Run("bbolt", benchmarkBoltCommit)
	for _, operatorCount := range []int{1, 64} {
		b.Run(fmt.Sprintf("operators=%d", operatorCount), func(b *testing.B) {
			benchmarkClusterCommit(b, operatorCount)
		})
	}
}

// benchmarkBoltCommit measures commits of one value of the size of a change.
func benchmarkBoltCommit(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "x.db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	var latencies []time.Duration
	for i := 0; b.Loop(); i++ {
		begin := time.Now()
		err := db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte("b"))
			if err != nil {
				return err
			}
			return bucket.Put(encodeUint64(uint64(i)), make([]byte, 150))
		})
		if err != nil {
			b.Fatal(err)
		}
		latencies = append(latencies, time.Since(begin))
	}
	reportLatencies(b, latencies)
}

// benchmarkClusterCommit measures b.N changes that the operators together propose to the leader.
func benchmarkClusterCommit(b *testing.B, operatorCount int) {
	c := newLiveClusterWith(b, 3, 10*time.Millisecond, 2000)
	c.await("ready", isLed)
	leader := c.status(1).Leader
	var proposalCount atomic.Int64
	var mu sync.Mutex // guards latencies
	var latencies []time.Duration
	b.ResetTimer()
	var operators sync.WaitGroup
	for range operatorCount {
		operators.Go(func() {
			for {
				i := int(proposalCount.Add(1))
				if i > b.N {
					return
				}
				begin := time.Now()
				c.propose(leader, putPlanProposal(fmt.Sprint("p", i), i))
				latency := time.Since(begin)
				mu.Lock()
				latencies = append(latencies, latency)
				mu.Unlock()
			}
		})
	}
	operators.Wait()
	b.StopTimer()
	reportLatencies(b, latencies)
}

func reportLatencies(b *testing.B, latencies []time.Duration) {
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(len(latencies))/b.Elapsed().Seconds(), "changes/s")
}

// BenchmarkCatchUp measures the time until a restarted member, whose log lacks 50,000 versions that the other two have
// committed meanwhile, has caught up.
func BenchmarkCatchUp(b *testing.B) {
	const (
		versions      = 50_000
		operatorCount = 64
	)
	for b.Loop() {
		b.StopTimer()
		c := newLiveClusterWith(b, 3, 20*time.Millisecond, 2000)
		c.await("ready", isLed)
		lagging, other := c.followers()
		c.stop(lagging)
		c.proposeConcurrently(other, operatorCount, versions/operatorCount)
		want := c.status(other).Version
		c.start(lagging) // its file holds its vote, and none of the changes
		b.StartTimer()
		for c.status(lagging).Version < want || !c.status(lagging).Ready {
			time.Sleep(time.Millisecond)
		}
		b.StopTimer()
		b.ReportMetric(float64(want), "versions")
		c.stopAll()
		b.StartTimer()
	}
}
