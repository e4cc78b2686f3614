package policy

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"mulleinmux/policy/quota"
)

func hotRestartSettings() Settings {
	s := testSettings()
	s.InstanceCount, s.InstanceIndex, s.AllowsGossip, s.GossipInboxRate = 3, 1, true, 1000
	s.Plans = []Plan{
		{Name: "ceiled", Rate: 1, Burst: 6, HardLimitRate: 6, HardLimitBurst: 30, PriorityFactor: 1},
		{Name: "open", MaxInFlight: 4, PriorityFactor: 1},
	}
	return s
}

// newUsedEngine returns an engine with state to export: spent quotas, gossip of a peer, an unresponsive server.
func newUsedEngine(t *testing.T) (*Engine, *recorder) {
	t.Helper()
	e, r := newEngine(t, hotRestartSettings(), testServers(4)...)
	peerSettings := hotRestartSettings()
	peerSettings.InstanceIndex = 0
	peer, rp := newEngine(t, peerSettings, testServers(4)...)
	q := newRequest(900, "safe", "ceiled", 1)
	q.InstanceCount = 3
	peer.RequestReceived(t0, q, rp)
	peer.TimerFired(t0+ms, timerToken(timerGossip, 0), rp)
	for _, m := range rp.gossip[1] {
		e.GossipReceived(t0+2*ms, 0, m, r)
	}
	for i := range 40 {
		now := t0 + time.Duration(i)*100*ms
		q := newRequest(i, "safe", []string{"ceiled", "open"}[i%2], uint64(1+i%2))
		q.InstanceCount = 3
		e.RequestReceived(now, q, r)
		if last := r.last(); strings.HasPrefix(last, "send") && i%2 == 0 {
			server := strings.Fields(last)[2]
			completed := AttemptResult{ID: q.ID, Result: OK, Server: server, Latency: 20 * ms, RequestAnswered: true}
			e.AttemptCompleted(now+20*ms, completed, r)
		}
		e.TimerFired(now+50*ms, timerToken(timerSample, 0), r)
	}
	e.servers.list[0].isUnresponsive = true
	return e, r
}

// newSuccessor returns an engine that is started at a time, without inherited state.
func newSuccessor(t *testing.T, s Settings, now time.Duration, servers ...Server) (*Engine, *recorder) {
	t.Helper()
	e, err := New(s, 2)
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{}
	e.Start(now, r)
	e.EndpointsChanged(now, EndpointsSaved, servers, r)
	return e, r
}

// newContinuation returns an engine that has been used for 4 s, and a successor that has then imported its state.
func newContinuation(t *testing.T) (e, next *Engine, r, rn *recorder, now time.Duration) {
	t.Helper()
	e, r = newUsedEngine(t)
	now = t0 + 4*time.Second
	text, err := e.ExportState(now)
	if err != nil {
		t.Fatal(err)
	}
	next, rn = newSuccessor(t, hotRestartSettings(), now, testServers(4)...)
	if err := next.ImportState(now, text); err != nil {
		t.Fatal(err)
	}
	return e, next, r, rn, now
}

// A successor continues with the quotas of its predecessor.
func TestSuccessorContinuesQuotas(t *testing.T) {
	e, next, _, _, now := newContinuation(t)
	continued := quotaStates(next, now)
	for customer, before := range quotaStates(e, now) {
		after, isKnown := continued[customer]
		predecessor, successor := e.quotas.Lookup(customer), next.quotas.Lookup(customer)
		if !isKnown || successor.Tokens != predecessor.Tokens ||
			successor.HardLimitTokens != predecessor.HardLimitTokens ||
			after.PendingUnits != before.PendingUnits || after.NeedsGossip != before.NeedsGossip ||
			after.UnitsInTransit != before.UnitsInTransit {
			t.Fatalf("quota of customer %d: exported %+v, imported %+v", customer, before, after)
		}
	}
	if e.quotas.Lookup(1).HardLimitTokens > 7.9 || e.quotas.Lookup(1).Tokens > 5.5 {
		t.Fatalf("the predecessor spent too little of the quota: %+v", e.quotas.Lookup(1))
	}
	// The successor counts attempts in flight at the predecessor as leases: see TestRestoredQuotaKeepsCapacity.
	open, openWas := continued[2], quotaStates(e, now)[2]
	hasPeers := slices.Equal(open.PeerInFlight, openWas.PeerInFlight) &&
		slices.Equal(open.PeerReceivedAt, openWas.PeerReceivedAt)
	if len(open.LeaseFrom) != openWas.InFlight+len(openWas.LeaseFrom) || openWas.InFlight == 0 || !hasPeers {
		t.Errorf("attempts in flight: exported %+v, imported %+v", openWas, open)
	}
	// The quota of a customer unknown to both has been filling since the start of the first process.
	scope := quota.Scope{InstanceCount: 3}
	fresh, was := next.quotas.QuotaInPlan(77, scope, now), e.quotas.QuotaInPlan(77, scope, now)
	if math.Abs(fresh.Tokens-was.Tokens) > 1e-9 || math.Abs(fresh.HardLimitTokens-was.HardLimitTokens) > 1e-9 {
		t.Errorf("quota of an unknown customer: got %+v, want %+v as at the predecessor", fresh, was)
	}
}

// quotaStates returns the state of an engine's quotas by customer.
func quotaStates(e *Engine, now time.Duration) map[uint64]quota.State {
	states := map[uint64]quota.State{}
	for _, state := range e.quotas.Export(now) {
		states[state.Customer] = state
	}
	return states
}

// A successor continues with its predecessor's statistics of load, classes and servers.
func TestSuccessorContinuesStatistics(t *testing.T) {
	e, next, _, _, now := newContinuation(t)
	if a, b := fmt.Sprintf("%+v", e.overload), fmt.Sprintf("%+v", next.overload); a != b {
		t.Errorf("overload control: exported\n%s\nimported\n%s", a, b)
	}
	latency, nextLatency := e.latencies.classes[0], next.latencies.classes[0]
	hasSameWork := next.latencies.learnedWork(0) == e.latencies.learnedWork(0)
	if latency.mean != nextLatency.mean || latency.mean == 0 || !hasSameWork {
		t.Errorf("latency of class 0: exported %+v, imported %+v", latency, nextLatency)
	}
	if listed, avoided := next.ServerCounts(now); listed != 4 || avoided != 1 {
		t.Errorf("got %d servers listed and %d avoided, want 4 and 1", listed, avoided)
	}
}

// After the handover the successor makes the same decisions as its predecessor would.
func TestSuccessorDecidesAlike(t *testing.T) {
	e, next, r, rn, now := newContinuation(t)
	for i := range 30 {
		at := now + time.Duration(i)*50*ms
		q := newRequest(1000+i, "safe", "ceiled", 1)
		q.InstanceCount = 3
		before, beforeNext := r.count("send"), rn.count("send")
		e.RequestReceived(at, q, r)
		next.RequestReceived(at, q, rn)
		if (r.count("send") > before) != (rn.count("send") > beforeNext) {
			t.Fatalf("request %d: predecessor %q, successor %q", i, r.last(), rn.last())
		}
	}
}

// The successor does not charge gossip again that its predecessor has received.
func TestSuccessorKeepsGossipSequence(t *testing.T) {
	e, _ := newUsedEngine(t)
	now := t0 + 4*time.Second
	text, _ := e.ExportState(now)
	next, rn := newSuccessor(t, hotRestartSettings(), now, testServers(4)...)
	if err := next.ImportState(now, text); err != nil {
		t.Fatal(err)
	}
	old := e.gossip.Export()[0]
	if !old.IsKnown {
		t.Fatal("the predecessor received no gossip")
	}
	level := next.quotas.Lookup(1).Tokens
	next.GossipReceived(now, 0, gossipOfTwoUnits(old.Epoch, old.ReceivedSequence), rn)
	if next.quotas.Lookup(1).Tokens != level {
		t.Errorf("gossip with an old sequence number took %v units, want 0", level-next.quotas.Lookup(1).Tokens)
	}
	next.GossipReceived(now, 0, gossipOfTwoUnits(old.Epoch, old.ReceivedSequence+1), rn)
	if next.quotas.Lookup(1).Tokens != level-2 {
		t.Errorf("gossip with the next sequence number took %v units, want 2", level-next.quotas.Lookup(1).Tokens)
	}
}

// gossipOfTwoUnits returns the gossip of an instance, of three, at which customer 1 has spent two units. Its only entry
// has the customer, the scope (plan 0, three instances from 0 on), the units, no transfer and no deficit.
func gossipOfTwoUnits(epoch, sequence uint64) []byte {
	const kindGossip, scope, twoUnits = 4, (0*3+2)*3 + 0, 2 << 1 // signed numbers are zigzag-encoded
	message := binary.AppendUvarint([]byte{kindGossip}, epoch)
	message = binary.AppendUvarint(message, sequence)
	message = append(message, 1, 1, scope, twoUnits, 0, 0)
	return append(message, 0) // no entry is repeated
}

// Units spent stay spent if a plan has changed. Quotas of a plan that was removed are not imported, nor is the state of
// a server that has restarted since, or of an unknown class.
func TestSuccessorWithOtherSettings(t *testing.T) {
	e, _ := newUsedEngine(t)
	now := t0 + 4*time.Second
	text, _ := e.ExportState(now)
	s := hotRestartSettings()
	s.Plans = []Plan{
		{Name: "novel", Rate: 1, Burst: 1},
		{Name: "ceiled", Rate: 20, Burst: 60, HardLimitRate: 40, HardLimitBurst: 120, PriorityFactor: 1},
	}
	s.Classes = s.Classes[1:]
	servers := testServers(4)
	servers[0].StartedAt = now
	next, _ := newSuccessor(t, s, now, servers...)
	if err := next.ImportState(now, text); err != nil {
		t.Fatal(err)
	}
	if _, avoided := next.ServerCounts(now); avoided != 0 {
		t.Error("a server that has restarted since the export is avoided")
	}
	moved, was := next.quotas.Lookup(1), e.quotas.Lookup(1)
	if next.quotas.Lookup(2) != nil || moved == nil || moved.Plan != 1 {
		t.Fatalf("got quotas %v, want that of customer 1 alone, with plan 1", next.quotas)
	}
	if spent, want := 60-moved.Tokens, 6-was.Tokens; math.Abs(spent-want) > 1e-9 {
		t.Errorf("spent units of the quota: got %v, want %v", spent, want)
	}
	const part = 1.0 / 3 // of the hard limit, at each of three instances
	spent, want := 120*part-moved.HardLimitTokens, 30*part-was.HardLimitTokens
	if math.Abs(spent-want) > 1e-9 {
		t.Errorf("spent units of the hard limit: got %v, want %v", spent, want)
	}
}

// A state that cannot be imported changes nothing.
func TestInvalidStateIsRejected(t *testing.T) {
	e, _ := newUsedEngine(t)
	now := t0 + 4*time.Second
	text, _ := e.ExportState(now)
	other := hotRestartSettings()
	other.InstanceIndex = 2
	for name, c := range map[string]struct {
		set  Settings
		text string
	}{
		"cut short":      {hotRestartSettings(), string(text[:len(text)/2])},
		"other instance": {other, string(text)},
		"empty":          {hotRestartSettings(), ""},
		"invalid quota":  {hotRestartSettings(), strings.Replace(string(text), `"Spread":3`, `"Spread":9`, 1)},
	} {
		next, _ := newEngine(t, c.set, testServers(4)...)
		err := next.ImportState(now, []byte(c.text))
		if err == nil || next.quotas.Len() != 0 || next.startedAt != t0 {
			t.Errorf("state %s: got error %v and %d quotas, want an error and 0", name, err, next.quotas.Len())
		}
	}
}

// unitsAdmitted offers one request each 10 ms from a time on, for a duration, and returns how many were admitted. Each
// request is completed before the next.
func unitsAdmitted(e *Engine, r *recorder, from, duration time.Duration, q Request) (admitted float64) {
	for now := from; now < from+duration; now += 10 * ms {
		admitted += float64(offerRequests(e, r, now, 1, q))
		completeAttempts(e, r, now+5*ms, 5*ms, OK)
	}
	return admitted
}

// slowUpgrade describes the quotas of a hot restart whose successor imports the state one second after its export.
type slowUpgrade struct {
	name  string
	plan  Plan
	rate  float64 // of the plan's limit that is under test
	burst float64
}

// slowUpgrades returns an upgrade with a quota and one with a hard limit.
func slowUpgrades() []slowUpgrade {
	const rate, burst = 10, 20
	quotaPlan := Plan{Name: "limited", Rate: rate, Burst: burst, PriorityFactor: 1}
	hardLimitPlan := Plan{Name: "limited", HardLimitRate: rate, HardLimitBurst: burst, PriorityFactor: 1}
	return []slowUpgrade{{"quota", quotaPlan, rate, burst}, {"hard limit", hardLimitPlan, rate, burst}}
}

// settings returns the settings of both processes.
func (u slowUpgrade) settings() Settings {
	s := testSettings()
	s.Plans = []Plan{u.plan}
	return s
}

// While a slow successor does not import the state yet, or does not serve yet, the predecessor admits requests and
// refills its quotas. The successor does not refill that interval again: otherwise its units could be spent twice.
func TestSlowSuccessorRefillsFromImport(t *testing.T) {
	for _, upgrade := range slowUpgrades() {
		t.Run(upgrade.name, func(t *testing.T) { testSlowSuccessor(t, upgrade, time.Second) })
		t.Run(upgrade.name+", slow after the import", func(t *testing.T) { testSlowSuccessor(t, upgrade, 0) })
	}
}

// testSlowSuccessor hands over to a successor that serves one second after the export, and imports the state after
// importDelay.
func testSlowSuccessor(t *testing.T, upgrade slowUpgrade, importDelay time.Duration) {
	e, r := newEngine(t, upgrade.settings(), testServers(4)...)
	exportedAt := t0 + 10*time.Second
	importedAt, takenOverAt := exportedAt+importDelay, exportedAt+time.Second
	q := newRequest(0, "safe", "limited", 1)
	spent := float64(offerRequests(e, r, exportedAt, int(upgrade.burst), q))
	completeAttempts(e, r, exportedAt, 5*ms, OK)
	if spent != upgrade.burst {
		t.Fatalf("units admitted before the export: got %v, want the burst of %v", spent, upgrade.burst)
	}
	text, err := e.ExportState(exportedAt)
	if err != nil {
		t.Fatal(err)
	}
	next, rn := newSuccessor(t, upgrade.settings(), importedAt, testServers(4)...)
	if err := next.ImportState(importedAt, text); err != nil {
		t.Fatal(err)
	}
	spent += unitsAdmitted(e, r, exportedAt, time.Second, q)
	next.Quotas().TakeOver(takenOverAt)
	spent += unitsAdmitted(next, rn, takenOverAt, time.Second, q)
	if allowed := upgrade.burst + upgrade.rate*2; spent > allowed {
		t.Errorf("units admitted by both processes: got %v, want at most %v", spent, allowed)
	}
}

// handOverState hands the quotas of an engine over and returns its state.
func handOverState(e *Engine, now time.Duration) ([]byte, error) {
	e.Quotas().HandOver(now)
	return e.ExportState(now)
}

// A full burst cannot be spent at the predecessor after the export and again at the successor, whether the customer had
// sent requests before or not.
func TestBurstIsNotSpentTwice(t *testing.T) {
	for _, upgrade := range slowUpgrades() {
		for _, isKnown := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, known before: %v", upgrade.name, isKnown), func(t *testing.T) {
				exportedAt, q := t0+10*time.Second, newRequest(0, "safe", "limited", 1)
				importedAt := exportedAt + time.Second
				e, r := newEngine(t, upgrade.settings(), testServers(4)...)
				if isKnown {
					offerRequests(e, r, t0+5*time.Second, 1, q)
					completeAttempts(e, r, t0+5*time.Second, 5*ms, OK)
				}
				text, err := handOverState(e, exportedAt)
				if err != nil {
					t.Fatal(err)
				}
				spent := offerRequests(e, r, exportedAt, 2*int(upgrade.burst), q)
				next, rn := newSuccessor(t, upgrade.settings(), importedAt, testServers(4)...)
				if err := next.ImportState(importedAt, text); err != nil {
					t.Fatal(err)
				}
				spent += offerRequests(next, rn, importedAt, 2*int(upgrade.burst), q)
				if float64(spent) > upgrade.burst {
					t.Errorf("units admitted by both processes: got %v, want at most %v", spent, upgrade.burst)
				}
			})
		}
	}
}

// A customer below its rate is not rejected by a predecessor whose successor is slow, nor by the successor.
func TestLightLoadIsAdmittedDuringHotRestart(t *testing.T) {
	for _, upgrade := range slowUpgrades() {
		t.Run(upgrade.name, func(t *testing.T) {
			exportedAt, q := t0+10*time.Second, newRequest(0, "safe", "limited", 1)
			importedAt := exportedAt + time.Second
			e, r := newEngine(t, upgrade.settings(), testServers(4)...)
			text, err := handOverState(e, exportedAt)
			if err != nil {
				t.Fatal(err)
			}
			next, rn := newSuccessor(t, upgrade.settings(), importedAt, testServers(4)...)
			if err := next.ImportState(importedAt, text); err != nil {
				t.Fatal(err)
			}
			for i := range 9 { // requests a second, of ten that the rate allows
				after := time.Duration(i) * time.Second / 9
				admitted := offerRequests(e, r, exportedAt+after, 1, q)
				admittedNext := offerRequests(next, rn, importedAt+after, 1, q)
				if admitted != 1 || admittedNext != 1 {
					t.Errorf("request %d: admitted %d at the predecessor, %d at the successor, want 1 and 1",
						i, admitted, admittedNext)
				}
			}
		})
	}
}

// After a failed handover the process admits the full burst again.
func TestFailedHandoverReturnsBurst(t *testing.T) {
	for _, upgrade := range slowUpgrades() {
		t.Run(upgrade.name, func(t *testing.T) {
			exportedAt, q := t0+10*time.Second, newRequest(0, "safe", "limited", 1)
			e, r := newEngine(t, upgrade.settings(), testServers(4)...)
			if _, err := handOverState(e, exportedAt); err != nil {
				t.Fatal(err)
			}
			admitted := offerRequests(e, r, exportedAt, 1, q)
			e.Quotas().TakeBack(exportedAt)
			admitted += offerRequests(e, r, exportedAt, 2*int(upgrade.burst), q)
			if float64(admitted) != upgrade.burst {
				t.Errorf("units admitted: got %v, want the burst of %v", admitted, upgrade.burst)
			}
		})
	}
}
