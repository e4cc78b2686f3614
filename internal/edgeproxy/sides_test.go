package edgeproxy

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"mulleinmux/internal/simwire"
	"mulleinmux/policy"
)

// settingsOf is the settings object of one customer's deployment, as a node is told it.
func settingsOf(t *testing.T, safe, other, effect, group, plan string, deadline, rate float64, probes bool, feedback string) (policy.Settings, simwire.ConnectionSettings) {
	t.Helper()
	set, tr, err := simwire.ParseSettings(fmt.Appendf(nil, `{"instances":1,"me":0,"zone":"z","tick":0.001,"registryMode":"automatic",
		"feedback":{"how":%q},"lanes":[
		{"name":%q,"idempotency":"retryable","keyScope":"all","deadline":%v,"onTime":%v,"worth":2},
		{"name":%q,"idempotency":%q,"keyScope":%q,"memorySpan":4,"deadline":%v,"onTime":%v,"worth":7}],
		"tariffs":[{"name":%q,"quotaRate":%v,"peakUnits":2,"worthFactor":1,"overCost":1}],
		"policyLimits":{"cancel":true,"probes":%v,"retryAfter":true,"maxRetryAfter":1,"mostTries":3,"connIdle":30,"connectTimeout":0.25},
		"rules":{"answerSlack":0.005,"drainGrace":0.25,"coldFrom":0.2,"rampTime":10,"fallMultiple":3,"overloadFor":2}}`,
		feedback, safe, deadline, deadline, other, effect, group, deadline, deadline, plan, rate, probes))
	if err != nil {
		t.Fatal(err)
	}
	return set, tr
}

// Two customers' deployments in one process, in use at the same time: nothing of one shows in the other. Their classes, plans, quotas, deadlines
// and effects come from the settings alone; a name of the one is unknown at the other.
func TestTwoDeploymentsSideBySide(t *testing.T) {
	type side struct {
		safe, other, plan, method, key string
		deadline                       float64
		probes                         bool
		app                            *appServer
		n                              *running
	}
	sides := []*side{
		{safe: "reading-fetch", other: "meter-swap", plan: "household", method: "POST", deadline: 1},
		{safe: "parcel-trace", other: "pickup-order", plan: "chain", method: "POST", key: "k", deadline: 20, probes: true},
	}
	for i, s := range sides {
		s.app = newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
			if r.Header.Get("X-Trace-Id") == "hang" {
				select {}
			}
			return say(okAnswer)(c, r, body)
		})
		cfg := testConfig(s.app.instance(fmt.Sprint("server-", i)))
		effect, group, feedback := "fragile", "", "answers"
		if s.key != "" {
			effect, group, feedback = "dedup", "zone", "probe"
		}
		cfg.Settings, cfg.Transport = settingsOf(t, s.safe, s.other, effect, group, s.plan, s.deadline, []float64{0.01, 1e6}[i], s.probes, feedback)
		cfg.Discovery = netip.MustParseAddrPort("127.0.0.1:1")
		s.n = run(t, cfg)
	}
	ask := func(s *side, class, plan, id string) answered {
		method, key := "GET", ""
		if class == s.other {
			method, key = s.method, s.key
		}
		return dial(t, s.n.addr).ask(request(class, id, "", method+" /"+class+"/x?customer=00000000b4d65521 HTTP/1.1",
			"X-Contract", plan, "Idempotency-Key", key, "X-Expires-In", "20"))
	}
	var both sync.WaitGroup
	for i, s := range sides {
		o := sides[1-i]
		both.Go(func() {
			// Ids, the customer and its units are the same at both at the same time.
			for k := range 4 {
				a := ask(s, s.safe, s.plan, fmt.Sprint("t", k))
				if want := map[bool]int{true: 200, false: 429}[i == 1 || k < 2]; a.status != want {
					t.Errorf("%s, request %d: %d, want %d", s.plan, k, a.status, want)
				}
			}
			for _, c := range []struct{ class, plan string }{{o.safe, s.plan}, {s.safe, o.plan}, {o.other, s.plan}} {
				if a := ask(s, c.class, c.plan, "x"); a.status != 400 {
					t.Errorf("class %s, plan %s at the other customer's node: %d", c.class, c.plan, a.status)
				}
			}
		})
	}
	both.Wait()
	for _, line := range sides[0].app.requests() {
		if line == "GET /stats " {
			t.Error("probed, where probes are not allowed")
		}
	}
	// The deadline of each is its own: 1 s at the one and 20 s at the other.
	begun := time.Now()
	c := dial(t, sides[1].n.addr)
	c.send(request(sides[1].safe, "hang", "", "GET /"+sides[1].safe+"/x?customer=00000000b4d65522 HTTP/1.1", "X-Contract", sides[1].plan))
	if a := dial(t, sides[0].n.addr).ask(request(sides[0].safe, "hang", "", "GET /"+sides[0].safe+"/x?customer=00000000b4d65522 HTTP/1.1",
		"X-Contract", sides[0].plan)); a.status != 429 || time.Since(begun) > 10*time.Second {
		t.Errorf("%d after %v", a.status, time.Since(begun))
	}
	c.Close()
}
