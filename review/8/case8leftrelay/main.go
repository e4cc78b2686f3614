//go:build review

// Command case8leftrelay runs a cluster with instances at two halls that are joined by a link. Clients of one hall's
// instance give up bookings early and close their connections. It checks that no attempt begins more than 0.1 s after
// the client has closed.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mulleinmux/internal/testserver"
	"mulleinmux/review/rig2"
)

const (
	serversPerHall = 5
	licensees      = 10
	clients        = 30
	clientInterval = 250 * time.Millisecond // 12 requests a second for each licensee: within its quota of 18
	sendFor        = 20 * time.Second
	deadline       = 2 * time.Second
	leaveEvery     = 3                      // one of so many clients' requests is given up
	leaveAfter     = 200 * time.Millisecond // after it was sent
	meanWork       = 90 * time.Millisecond  // of a booking
	failEvery      = 8                      // one of so many attempts errs
	failAfter      = 500 * time.Millisecond // after so long
	graceOfLeaving = 100 * time.Millisecond // the pages' limit
)

func main() { rig2.Main(110*time.Second, run) }

// work returns the time that a booking takes: exponential with the mean that the pages give, 65 to 120 ms.
func work() time.Duration {
	return min(time.Duration(rand.ExpFloat64()*float64(meanWork)), time.Second)
}

type attempt struct {
	server string
	number int
	at     time.Time
}

func run(record *rig2.Record, tmp string) (int, error) {
	counter := rig2.NewCounter()
	var mu sync.Mutex
	attempts := map[string][]attempt{}
	closedAt := map[string]time.Time{}
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
				record.Add("app server %s got %s, attempt %d", a.Server, a.Trace, a.Number)
				mu.Lock()
				attempts[a.Trace] = append(attempts[a.Trace], attempt{a.Server, a.Number, a.At})
				mu.Unlock()
				if a.Number == 1 && rand.N(failEvery) == 0 {
					return rig2.Answer{After: failAfter, Status: 500, Body: "error"}
				}
				return rig2.Answer{After: work(), Status: 201, Body: "booked"}
			})
			if err != nil {
				return 0, err
			}
			defer server.Close()
			discovery.Put(server.Entry(name, server.Addr))
		}
	}
	cluster, err := rig2.NewCluster(tmp, []string{"hall-a", "hall-b", "hall-b"}, true)
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
	time.Sleep(5 * time.Second) // an instance that has just started takes no bookings for up to 3.5 s
	target := cluster.Members[0].Listen

	var workers sync.WaitGroup
	sent, served, left, other := 0, 0, 0, 0
	end := time.Now().Add(sendFor)
	for i := range clients {
		workers.Go(func() {
			time.Sleep(rand.N(clientInterval))
			var conn *rig2.Conn
			for next := time.Now(); time.Now().Before(end); next = next.Add(clientInterval) {
				time.Sleep(time.Until(next))
				if conn == nil {
					var err error
					if conn, err = rig2.Dial(target); err != nil {
						conn = nil
						continue
					}
				}
				trace := rig2.NewID()
				leaves := rig2.HasTrouble() && rand.N(leaveEvery) == 0
				body, _ := json.Marshal(map[string]any{"installers": 1})
				record.Add("client %d sends %s", i, trace)
				sentAt := time.Now()
				err := conn.Send(rig2.Request{Method: "POST", Target: "/v1/visits", Trace: trace, Key: trace, Body: string(body),
					ExpiresIn: deadline, Licensee: fmt.Sprintf("licensee-%d", i%licensees)})
				wait := deadline + time.Second
				if leaves {
					wait = leaveAfter
				}
				var response rig2.Response
				if err == nil {
					response, err = conn.Receive(sentAt.Add(wait))
				}
				mu.Lock()
				sent++
				switch {
				case err == nil && response.Status == 201:
					served++
				case err != nil && leaves:
					left++
				default:
					other++
				}
				mu.Unlock()
				if err != nil || response.Close {
					conn.Close()
					conn = nil
					if err != nil {
						mu.Lock()
						closedAt[trace] = time.Now()
						mu.Unlock()
						record.Add("client %d has closed on %s: %v", i, trace, err)
					}
				}
				if err == nil && response.Status != 201 {
					record.Add("client %d got %d for %s", i, response.Status, trace)
				}
			}
		})
	}
	workers.Wait()
	time.Sleep(deadline)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for trace, closed := range closedAt {
		for _, a := range attempts[trace] {
			if late := a.at.Sub(closed); late > graceOfLeaving {
				broken++
				record.Say("attempt %d of %s came to %s %.3f s after its client had closed", a.number, trace, a.server, late.Seconds())
			}
		}
	}
	byHall := map[string]int{}
	for _, of := range attempts {
		byHall[of[0].server[:6]]++
	}
	record.Say("sent %d, served %d, left %d, other %d, at hall-a %d and hall-b %d; attempts more than 0.1 s after the close: %d",
		sent, served, left, other, byHall["hall-a"], byHall["hall-b"], broken)
	switch {
	case broken > 0:
		return rig2.ExitBroken, nil
	case served < sent/3 || byHall["hall-b"] == 0:
		return 0, fmt.Errorf("too few bookings were served")
	}
	return rig2.ExitHeld, nil
}
