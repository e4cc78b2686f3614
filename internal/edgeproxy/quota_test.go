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

// lossyNetwork is the network between nodes. Each ordered pair of nodes has a socket of its own that loses, duplicates
// and delays some messages: sockets[i][j] is the socket to which node i sends messages for node j, and from which node
// i receives those of node j.
type lossyNetwork struct {
	nodes   []netip.AddrPort
	sockets [][]*net.UDPConn
	isLost  func(messageNumber int) bool
}

// newLossyNetwork returns a network that forwards messages for the rest of the test. isLost decides which messages are
// dropped.
func newLossyNetwork(t *testing.T, nodes []netip.AddrPort, isLost func(messageNumber int) bool) *lossyNetwork {
	t.Helper()
	network := &lossyNetwork{nodes: nodes, isLost: isLost}
	for range nodes {
		var sockets []*net.UDPConn
		for range nodes {
			sockets = append(sockets, listenUDP(t))
		}
		network.sockets = append(network.sockets, sockets)
	}
	for from := range nodes {
		for to := range nodes {
			if from != to {
				go network.forward(from, to)
			}
		}
	}
	return network
}

// peerAddrs returns the addresses at which a node reaches each node.
func (n *lossyNetwork) peerAddrs(node int) []netip.AddrPort {
	var addrs []netip.AddrPort
	for peer, socket := range n.sockets[node] {
		addr := socket.LocalAddr().(*net.UDPAddr).AddrPort()
		if peer == node {
			addr = n.nodes[node]
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// forward forwards messages from one node to another until the socket is closed. Of 20 messages it delays one and
// duplicates one, besides those that are lost.
func (n *lossyNetwork) forward(from, to int) {
	buf := make([]byte, 300)
	for number := 1; ; number++ {
		size, _, err := n.sockets[from][to].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		// A failed write is a lost message, which gossip must tolerate.
		deliver := func(message []byte) { n.sockets[to][from].WriteToUDPAddrPort(message, n.nodes[to]) }
		switch {
		case n.isLost(number):
		case number%20 == 7:
			late := append([]byte(nil), buf[:size]...)
			time.AfterFunc(300*time.Millisecond, func() { deliver(late) })
		case number%20 == 13:
			deliver(buf[:size])
			deliver(buf[:size])
		default:
			deliver(buf[:size])
		}
	}
}

// referenceQuota is the exact state of a customer's quota over all nodes together.
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

// runGossipingNodes runs nodes that gossip over a lossy network. plan replaces the second plan of each node's
// configuration.
func runGossipingNodes(t *testing.T, nodes int, plan policy.Plan, app *appServer) []*runningNode {
	t.Helper()
	var listens []netip.AddrPort
	for range nodes {
		listens = append(listens, freeUDP(t))
	}
	network := newLossyNetwork(t, listens, func(messageNumber int) bool { return messageNumber%12 == 5 })
	var running []*runningNode
	for i := range nodes {
		cfg := testConfig(app.instance("a"))
		cfg.Settings.Plans[1] = plan
		cfg.Settings.InstanceCount, cfg.Settings.InstanceIndex = nodes, i
		cfg.Settings.AllowsGossip, cfg.Settings.GossipInboxRate = true, 40
		cfg.GossipListen, cfg.GossipPeers, cfg.GossipBroadcast = listens[i], network.peerAddrs(i), listens[i]
		running = append(running, runNode(t, cfg))
	}
	return running
}

// sendAtRate sends a customer's requests at the given rate per second for three seconds. It calls before ahead of each
// request.
func sendAtRate(t *testing.T, c *client, rate float64, id string, customer int, before func()) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for k := range int(3 * rate) {
		<-tick.C
		before()
		a := c.do(request("check", fmt.Sprintf("%s-%d", id, k), "",
			fmt.Sprintf("GET /check/x?customer=%016x HTTP/1.1", customer),
			"X-Contract", "tight", "X-Metering", "units=1,spread=3,first=0"))
		if a.status != 200 && a.status != 429 {
			t.Errorf("got status %d, want 200 or 429", a.status)
			return
		}
	}
}

// quotaAccount compares the units of several customers with reference quotas.
type quotaAccount struct {
	plan policy.Plan

	mu                     sync.Mutex
	sent, forwarded        []referenceQuota // by customer
	admissible             float64          // units that were sent and that the reference quota admits
	insideQuota, overQuota float64          // units that were forwarded inside and over the reference quota
}

func newQuotaAccount(plan policy.Plan, customers int) *quotaAccount {
	return &quotaAccount{
		plan:      plan,
		sent:      make([]referenceQuota, customers),
		forwarded: make([]referenceQuota, customers),
	}
}

// requestSent counts a request that a client is about to send.
func (a *quotaAccount) requestSent(customer int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sent[customer].admits(a.plan) {
		a.admissible++
	}
}

// serve counts a request that was forwarded and answers it.
func (a *quotaAccount) serve(c net.Conn, r *http.Request, _ []byte) bool {
	var customer int
	fmt.Sscanf(r.URL.Query().Get("customer"), "%x", &customer)
	a.mu.Lock()
	if a.forwarded[customer].admits(a.plan) {
		a.insideQuota++
	} else {
		a.overQuota++
	}
	a.mu.Unlock()
	_, err := c.Write([]byte(okAnswer))
	return err == nil
}

// Three nodes run without faults. Of eight customers one sends four times its quota through all of them, and the others
// send less than theirs. The cost of units over the quotas must not exceed 0.1 of the value that a reference with the
// exact state admits.
func TestQuotasHoldOverSockets(t *testing.T) {
	t.Parallel()
	const nodes, customers = 3, 8
	plan := policy.Plan{Name: "tight", Rate: 12, Burst: 12, PriorityFactor: 1, OverQuotaCost: 1}
	account := newQuotaAccount(plan, customers)
	running := runGossipingNodes(t, nodes, plan, newAppServer(t, account.serve))
	var all sync.WaitGroup
	for i, n := range running {
		for customer := range customers {
			c, rate := dial(t, n.addr), 0.4*plan.Rate/nodes
			if customer == 0 {
				rate = 4 * plan.Rate / nodes
			}
			all.Go(func() {
				id := fmt.Sprintf("t%d-%d", i, customer)
				sendAtRate(t, c, rate, id, customer, func() { account.requestSent(customer) })
			})
		}
	}
	all.Wait()
	discovered := 0
	for _, n := range running {
		n.stop()
		n.awaitEndBeforeCleanup(t)
		discovered = max(discovered, n.finalMetrics(t)["choice.beyond_quota.found"])
	}
	cost := account.overQuota * plan.OverQuotaCost / account.admissible
	t.Logf("%.0f of %.0f units passed inside quotas, %.0f over them at %.3f of the value, of which the nodes found %d",
		account.insideQuota, account.admissible, account.overQuota, cost, discovered)
	if cost > 0.1 || 2*account.insideQuota < account.admissible {
		t.Errorf("forwarded %.0f of %.0f admissible units, %.0f over quotas, cost %.3f; want half and at most 0.1",
			account.insideQuota, account.admissible, account.overQuota, cost)
	}
}
