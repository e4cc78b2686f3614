//go:build review

// Command case7leaderstop runs a cluster of three members. One member, not the leader, has died; then the leader gets
// a planned restart: SIGTERM, and SIGKILL the longest deadline and 0.7 s later. It checks that every request that was
// forwarded to an app server has its final answer by then.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/internal/testserver"
	"mulleinmux/review/rig2"
)

const (
	serversPerHall = 5
	hanging        = 2 // of each hall: four of ten, "a quarter to a half"
	clients        = 30
	clientInterval = 250 * time.Millisecond          // 12 requests a second for each licensee: within its quota of 18
	deadline       = 2 * time.Second                 // the longest of all classes
	killAfter      = deadline + 760*time.Millisecond // after SIGTERM; the pages: no sooner than the longest deadline and 0.7 s
	hangAfter      = time.Second                     // after SIGTERM
	meanWork       = 90 * time.Millisecond           // the pages: 65 to 120 ms
	warmUp         = 5 * time.Second                 // of traffic before the member dies
	deadFor        = 4 * time.Second                 // between the member's death and the leader's SIGTERM
	licensees      = 10
)

func main() { rig2.Main(90*time.Second, run) }

// exchange is a request of a client.
type exchange struct {
	trace    string
	sentAt   time.Time
	answered bool // a whole answer came
	err      error
	reached  bool // an app server got it
}

func run(record *rig2.Record, tmp string) (int, error) {
	counter := rig2.NewCounter()
	var mu sync.Mutex
	reached := map[string]bool{}
	var hangs atomic.Bool
	var halls []rig2.Hall
	for _, name := range []string{"hall-a", "hall-b"} {
		discovery, err := testserver.NewDiscovery()
		if err != nil {
			return 0, err
		}
		defer discovery.Close()
		halls = append(halls, rig2.Hall{Name: name, Register: discovery.Addr().String()})
		for i := range serversPerHall {
			server, err := rig2.NewAppServer(fmt.Sprintf("%s-%d", name, i), counter, func(a rig2.Attempt) rig2.Answer {
				record.Add("app server %s got %s", a.Server, a.Trace)
				mu.Lock()
				reached[a.Trace] = true
				mu.Unlock()
				if hangs.Load() && i < hanging {
					return rig2.Answer{Silent: true}
				}
				work := time.Duration(rand.ExpFloat64() * float64(meanWork))
				return rig2.Answer{After: min(work, 500*time.Millisecond), Status: 201, Body: "held"}
			})
			if err != nil {
				return 0, err
			}
			defer server.Close()
			discovery.Put(server.Entry(name, server.Addr))
		}
	}
	cluster, err := rig2.NewCluster(tmp, []string{"hall-a", "hall-a", "hall-b"}, false)
	if err != nil {
		return 0, err
	}
	var names []string
	for i := range licensees {
		names = append(names, fmt.Sprintf("licensee-%d", i))
	}
	if err := cluster.Apply(rig2.Agreed(halls, names)); err != nil {
		return 0, err
	}
	for _, m := range cluster.Members {
		if err := rig2.AwaitReady(m.Listen, 10*time.Second); err != nil {
			return 0, err
		}
	}
	leader := cluster.Leader()
	if leader == 0 {
		return 0, fmt.Errorf("no leader")
	}
	victim := 1
	if leader == victim {
		victim = 2
	}
	target := cluster.Members[leader-1]
	record.Say("member %d leads; clients of its instance begin", leader)

	stop := make(chan struct{})
	var workers sync.WaitGroup
	var exchanges []*exchange
	for i := range clients {
		workers.Go(func() {
			client(i, target.Listen, stop, record, func(e *exchange) {
				mu.Lock()
				exchanges = append(exchanges, e)
				mu.Unlock()
			})
		})
	}
	time.Sleep(warmUp)
	if rig2.HasTrouble() {
		record.Say("SIGKILL to member %d", victim)
		cluster.Members[victim-1].Signal(syscall.SIGKILL)
	}
	time.Sleep(deadFor)
	if now := cluster.Leader(); now != leader {
		return 0, fmt.Errorf("the leader has changed from %d to %d", leader, now)
	}
	record.Say("SIGTERM to the leader, member %d", leader)
	termAt := time.Now()
	close(stop) // no client opens a new connection from here on
	target.Signal(syscall.SIGTERM)
	time.AfterFunc(hangAfter, func() {
		record.Add("four of ten app servers hang from now on")
		hangs.Store(true)
	})
	go func() {
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if target.HasEnded() {
				return
			}
			record.Add("%.1f s after SIGTERM: ready %v", time.Since(termAt).Seconds(), rig2.IsReady(target.Listen))
		}
	}()
	select {
	case <-target.Ended:
		record.Say("the leader ended %.2f s after SIGTERM", time.Since(termAt).Seconds())
	case <-time.After(time.Until(termAt.Add(killAfter))):
		record.Say("SIGKILL %.2f s after SIGTERM", time.Since(termAt).Seconds())
		target.Signal(syscall.SIGKILL)
	}
	workers.Wait()
	mu.Lock()
	defer mu.Unlock()
	sent, answered, lost := 0, 0, 0
	for _, e := range exchanges {
		sent++
		if e.answered {
			answered++
			continue
		}
		e.reached = reached[e.trace]
		record.Add("no answer: %s, sent %.3f s after SIGTERM, forwarded %v: %v", e.trace, e.sentAt.Sub(termAt).Seconds(), e.reached, e.err)
		if e.reached {
			lost++
		}
	}
	record.Say("sent %d, answered %d, forwarded and never answered %d", sent, answered, lost)
	switch {
	case lost > 0:
		return rig2.ExitBroken, nil
	case answered < 20:
		return 0, fmt.Errorf("too few answers")
	}
	return rig2.ExitHeld, nil
}

// client sends one request after the other on a connection for as long as it stays open. Until stop it opens a new one
// when the last has ended.
func client(number int, addr string, stop <-chan struct{}, record *rig2.Record, add func(*exchange)) {
	var conn *rig2.Conn
	next := time.Now().Add(rand.N(clientInterval))
	for {
		if conn == nil {
			select {
			case <-stop:
				return
			default:
			}
			var err error
			if conn, err = rig2.Dial(addr); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		time.Sleep(time.Until(next))
		next = time.Now().Add(clientInterval)
		e := &exchange{trace: rig2.NewID(), sentAt: time.Now()}
		add(e)
		record.Add("client %d sends %s", number, e.trace)
		err := conn.Send(rig2.Request{Method: "POST", Target: "/v1/holds", Trace: e.trace, ExpiresIn: deadline, Body: "{}",
			Licensee: fmt.Sprintf("licensee-%d", number%licensees)})
		var response rig2.Response
		if err == nil {
			response, err = conn.Receive(time.Now().Add(deadline + 2*time.Second))
		}
		if err != nil {
			e.err = err
			conn.Close()
			conn = nil
			continue
		}
		e.answered = true
		record.Add("client %d got %d for %s", number, response.Status, strings.TrimSpace(e.trace))
		if response.Close {
			conn.Close()
			conn = nil
		}
	}
}
