package edgeproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinmux/policy"
)

// tellTale is the network between nodes: what one sends another goes through a socket of its own, which loses, doubles and delays some.
func tellTale(t *testing.T, nodes []netip.AddrPort, loses func(n int) bool) (toPeers [][]netip.AddrPort) {
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
					pass := func(p []byte) { ways[j][i].WriteToUDPAddrPort(p, nodes[j]) } // a lost one is part of the contract
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

// trueQuota is a customer's quota over all nodes together, as it is.
type trueQuota struct {
	level float64
	at    time.Time
}

func (q *trueQuota) takes(p policy.Plan) bool {
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

// Three nodes on a quiet day: one customer of eight asks for four times its quota through all of them, the others for less than
// theirs. What passes beyond quotas costs at most 0.1 of the worth that a reference lets in which sees the true state.
func TestQuotasHoldOverSockets(t *testing.T) {
	t.Parallel()
	const nodes, customers = 3, 8
	plan := policy.Plan{Name: "tight", Rate: 12, Burst: 12, PriorityFactor: 1, OverQuotaCost: 1}
	var mu sync.Mutex
	passed, wanted := make([]trueQuota, customers), make([]trueQuota, customers)
	var inside, beyond, offered float64
	app := newAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		var customer int
		fmt.Sscanf(r.URL.Query().Get("customer"), "%x", &customer)
		mu.Lock()
		if passed[customer].takes(plan) {
			inside++
		} else {
			beyond++
		}
		mu.Unlock()
		_, err := c.Write([]byte(okAnswer))
		return err == nil
	})
	var listens []netip.AddrPort
	for range nodes {
		listens = append(listens, freeUDP(t))
	}
	toPeers := tellTale(t, listens, func(n int) bool { return n%12 == 5 })
	var running []*running
	for i := range nodes {
		cfg := testConfig(app.instance("a"))
		cfg.Settings.Plans[1] = plan
		cfg.Settings.InstanceCount, cfg.Settings.InstanceIndex, cfg.Settings.AllowsGossip, cfg.Settings.GossipInboxRate = nodes, i, true, 40
		cfg.GossipListen, cfg.GossipPeers, cfg.GossipBroadcast = listens[i], toPeers[i], toPeers[i][i]
		running = append(running, run(t, cfg))
	}
	var all sync.WaitGroup
	for i, n := range running {
		for customer := range customers {
			c, rate := dial(t, n.addr), 0.4*plan.Rate/nodes
			if customer == 0 {
				rate = 4 * plan.Rate / nodes
			}
			all.Go(func() {
				tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
				defer tick.Stop()
				for k := range int(3 * rate) {
					<-tick.C
					mu.Lock()
					if wanted[customer].takes(plan) {
						offered++
					}
					mu.Unlock()
					a := c.ask(request("check", fmt.Sprintf("t%d-%d-%d", i, customer, k), "",
						fmt.Sprintf("GET /check/x?customer=%016x HTTP/1.1", customer), "X-Contract", "tight", "X-Metering", "units=1,spread=3,first=0"))
					if a.status != 200 && a.status != 429 {
						t.Errorf("answered %d", a.status)
						return
					}
				}
			})
		}
	}
	all.Wait()
	found := 0
	for _, n := range running {
		n.stop()
		n.endsBefore(t)
		found = max(found, n.endFigures(t)["choice.beyond_quota.found"])
	}
	cost := beyond * plan.OverQuotaCost / offered
	t.Logf("%.0f of %.0f units passed inside quotas, %.0f beyond them at %.3f of the worth, of which the nodes found %d", inside, offered, beyond, cost, found)
	if cost > 0.1 || 2*inside < offered {
		t.Errorf("%.0f of %.0f units passed, %.0f beyond quotas at %.3f of the worth", inside, offered, beyond, cost)
	}
}

// fullListener listens with its queue filled: connections come up late, once the queue is taken from, and in the order in which they
// were asked for. fillers is how many fill it, which say nothing and are closed with the test.
func fullListener(t *testing.T) (ln net.Listener, fillers int) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 40); err != nil {
		t.Fatal(err)
	}
	if ln, err = net.FileListener(file); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	for ; ; fillers++ {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return ln, fillers
		}
		t.Cleanup(func() { c.Close() })
	}
}

// Clients leave, by FIN and by reset, while their requests wait for connections that come up late: when these do, nothing is sent on.
func TestNothingIsSentAfterABurstOfClientsHasLeft(t *testing.T) {
	t.Parallel()
	ln, fillers := fullListener(t)
	const burst = 12
	var late []Instance // so many that no bound on the work out refuses one of the burst
	for i := range 2 * burst {
		late = append(late, Instance{Server: policy.Server{ID: fmt.Sprint("late-", i), Weight: 1, Kind: "k", Zone: "z"}, Addr: addrOf(ln)})
	}
	cfg := testConfig(late...)
	cfg.AdminListen = freeAddr(t)
	n := run(t, cfg)
	n.says(t, "ready on")
	figure := func(line string) func() bool { return shows(t, cfg.AdminListen, line) }
	var clients []*client
	for i := range burst {
		c := dial(t, n.addr)
		c.send(request([]string{"check", "book"}[i%2], fmt.Sprint("t", i)))
		clients = append(clients, c)
	}
	eventually(t, "all taken", figure(fmt.Sprintf("app.current=%d", burst)))
	for i, c := range clients {
		if i%3 == 0 {
			c.Conn.(*net.TCPConn).SetLinger(0) // by reset
		}
		c.Close()
	}
	eventually(t, "all seen to have left", figure("app.current=0"))
	stays := dial(t, n.addr)
	stays.send(request("check", "stays"))
	eventually(t, "one more taken", figure("app.current=1"))
	ids := make(chan string, burst)
	go func() {
		for k := 0; ; k++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if k < fillers {
				defer c.Close()
				continue
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					ids <- r.Header.Get("X-Trace-Id")
					c.Write([]byte(okAnswer))
				}
			}()
		}
	}()
	if a := stays.read(); a.status != 200 {
		t.Errorf("the one that stayed: %d", a.status)
	}
	if id := <-ids; id != "stays" || len(ids) != 0 {
		t.Errorf("%q was sent on, and %d more", id, len(ids))
	}
	if !figure("app.sends=1")() || !figure("app.sends_after_leave=0")() {
		_, text := call(t, "GET", cfg.AdminListen, countersCall)
		t.Errorf("one request had a client, and sent on were:\n%s", text)
	}
}

// Where two attempts may be out, the answer of one is final while the other's connection has not come up yet: that is not sent on, also
// where attempts may not be cancelled.
func TestNothingIsSentAfterTheFinalAnswer(t *testing.T) {
	for name, cancels := range map[string]bool{"cancels": true, "may not cancel": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, fillers := fullListener(t)
			app := newAppServer(t, say(okAnswer))
			late := Instance{Server: policy.Server{ID: "late", Weight: 1, Kind: "k", Zone: "z"}, Addr: addrOf(ln)}
			add := make(chan bool)
			cfg := testConfig(app.instance("a"))
			cfg.Settings.AllowsHedging, cfg.Settings.AllowsCancel = true, cancels
			for i := range cfg.Settings.Classes {
				cfg.Settings.Classes[i].LatencyObjective = 100 * time.Millisecond
			}
			cfg.Discovery = startDiscovery(t, func(n int, _ string, w io.Writer, ctx context.Context) {
				fmt.Fprintf(w, "%s\n", listJSON(8, true, app.instance("a")))
				<-add
				fmt.Fprintf(w, "%s\n", listJSON(9, true, app.instance("a"), late))
				<-ctx.Done()
			})
			n := run(t, cfg)
			c := dial(t, n.addr)
			for i := range 30 { // it knows how long answers take, and so when to send a second copy
				c.ask(request("check", fmt.Sprint("known", i)))
			}
			add <- true
			i := 0
			eventually(t, "an attempt that waits for its connection, and a second one that is answered", func() bool {
				i++
				begun := time.Now()
				if a := c.ask(request("check", fmt.Sprint("t", i))); a.status != 200 {
					t.Fatalf("answered %d", a.status)
				}
				return time.Since(begun) >= cfg.Settings.Classes[0].LatencyObjective/4
			})
			// Connections come up in the order in which they were asked for: what the node still waits for, then this.
			mine, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer syscall.Close(mine)
			to := &syscall.SockaddrInet4{Port: int(addrOf(ln).Port()), Addr: [4]byte{127, 0, 0, 1}}
			if err := syscall.Connect(mine, to); err != syscall.EINPROGRESS {
				t.Fatal("the queue is not full: ", err)
			}
			from, err := syscall.Getsockname(mine)
			if err != nil {
				t.Fatal(err)
			}
			for k := 0; ; k++ {
				ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
				c, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				if c.RemoteAddr().(*net.TCPAddr).Port == from.(*syscall.SockaddrInet4).Port {
					break
				}
				if k < fillers {
					continue
				}
				c.SetDeadline(time.Now().Add(patience))
				if said, _ := io.ReadAll(io.LimitReader(c, 20)); len(said) > 0 {
					t.Errorf("%q... was sent on after its final answer", said)
				}
			}
		})
	}
}
