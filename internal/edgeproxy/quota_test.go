package edgeproxy

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"mulleinmux/policy"
)

// newLossyNetwork is the network between nodes: what one sends another goes through a socket of its own, which
// loses, duplicates and delays some.
func newLossyNetwork(t *testing.T, nodes []netip.AddrPort, loses func(n int) bool) (toPeers [][]netip.AddrPort) {
	t.Helper()
	ways := make([][]*net.UDPConn, len(nodes)) // ways[i][j]: where node i sends what is for node j, and hears j from
	for i := range nodes {
		toPeers = append(toPeers, make([]netip.AddrPort, len(nodes)))
		ways[i] = make([]*net.UDPConn, len(nodes))
		for j := range nodes {
			c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			ways[i][j], toPeers[i][j] = c, c.LocalAddr().(*net.UDPAddr).AddrPort()
		}
		toPeers[i][i] = nodes[i]
	}
	for i := range nodes {
		for j := range nodes {
			if i == j {
				continue
			}
			go func() {
				buf := make([]byte, 300)
				for n := 1; ; n++ {
					k, _, err := ways[i][j].ReadFromUDPAddrPort(buf)
					if err != nil {
						return
					}
					// A lost message is part of the contract.
					pass := func(p []byte) { ways[j][i].WriteToUDPAddrPort(p, nodes[j]) }
					switch {
					case loses(n):
					case n%20 == 7:
						late := append([]byte(nil), buf[:k]...)
						time.AfterFunc(300*time.Millisecond, func() { pass(late) })
					case n%20 == 13:
						pass(buf[:k])
						fallthrough
					default:
						pass(buf[:k])
					}
				}
			}()
		}
	}
	return toPeers
}

// referenceQuota is a customer's quota over all nodes together, as it is.
type referenceQuota struct {
	level float64
	at    time.Time
}

func (q *referenceQuota) admits(p policy.Plan) bool {
	now := time.Now()
	if q.at.IsZero() {
		q.level = p.Burst
	} else {
		q.level = math.Min(q.level+p.Rate*now.Sub(q.at).Seconds(), p.Burst)
	}
	if q.at = now; q.level < 1 {
		return false
	}
	q.level--
	return true
}

// runGossipingNodes runs nodes that gossip over a lossy network; plan is the second of each.
func runGossipingNodes(t *testing.T, nodes int, plan policy.Plan, app *appServer) []*runningNode {
	t.Helper()
	var listens []netip.AddrPort
	for range nodes {
		listens = append(listens, freeUDP(t))
	}
	toPeers := newLossyNetwork(t, listens, func(n int) bool { return n%12 == 5 })
	var running []*runningNode
	for i := range nodes {
		cfg := testConfig(app.instance("a"))
		cfg.Settings.Plans[1] = plan
		cfg.Settings.InstanceCount, cfg.Settings.InstanceIndex = nodes, i
		cfg.Settings.AllowsGossip, cfg.Settings.GossipInboxRate = true, 40
		cfg.GossipListen, cfg.GossipPeers, cfg.GossipBroadcast = listens[i], toPeers[i], toPeers[i][i]
		running = append(running, runNode(t, cfg))
	}
	return running
}

// askAtRate sends a customer's requests at a rate, in 1/s, for three seconds; before is called before each.
func askAtRate(t *testing.T, c *client, rate float64, id string, customer int, before func()) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for k := range int(3 * rate) {
		<-tick.C
		before()
		a := c.ask(request("check", fmt.Sprintf("%s-%d", id, k), "",
			fmt.Sprintf("GET /check/x?customer=%016x HTTP/1.1", customer),
			"X-Contract", "tight", "X-Metering", "units=1,spread=3,first=0"))
		if a.status != 200 && a.status != 429 {
			t.Errorf("answered %d", a.status)
			return
		}
	}
}

// Three nodes without faults: one customer of eight sends four times its quota through all of them, the others less
// than theirs. What passes over quotas costs at most 0.1 of the value that a reference admits which sees the true
// state.
func TestQuotasHoldOverSockets(t *testing.T) {
	t.Parallel()
	const nodes, customers = 3, 8
	plan := policy.Plan{Name: "tight", Rate: 12, Burst: 12, PriorityFactor: 1, OverQuotaCost: 1}
	var mu sync.Mutex
	passed, wanted := make([]referenceQuota, customers), make([]referenceQuota, customers)
	var inside, beyond, offered float64
	app := newAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		var customer int
		fmt.Sscanf(r.URL.Query().Get("customer"), "%x", &customer)
		mu.Lock()
		if passed[customer].admits(plan) {
			inside++
		} else {
			beyond++
		}
		mu.Unlock()
		_, err := c.Write([]byte(okAnswer))
		return err == nil
	})
	running := runGossipingNodes(t, nodes, plan, app)
	var all sync.WaitGroup
	for i, n := range running {
		for customer := range customers {
			c, rate := dial(t, n.addr), 0.4*plan.Rate/nodes
			if customer == 0 {
				rate = 4 * plan.Rate / nodes
			}
			all.Go(func() {
				askAtRate(t, c, rate, fmt.Sprintf("t%d-%d", i, customer), customer, func() {
					mu.Lock()
					defer mu.Unlock()
					if wanted[customer].admits(plan) {
						offered++
					}
				})
			})
		}
	}
	all.Wait()
	found := 0
	for _, n := range running {
		n.stop()
		n.awaitEndBeforeCleanup(t)
		found = max(found, n.finalMetrics(t)["choice.beyond_quota.found"])
	}
	cost := beyond * plan.OverQuotaCost / offered
	t.Logf("%.0f of %.0f units passed inside quotas, %.0f beyond them at %.3f of the worth, "+
		"of which the nodes found %d",
		inside, offered, beyond, cost, found)
	if cost > 0.1 || 2*inside < offered {
		t.Errorf("%.0f of %.0f units passed, %.0f beyond quotas at %.3f of the worth", inside, offered, beyond, cost)
	}
}
