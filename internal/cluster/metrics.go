package cluster

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"mulleinmux/configstream"
	"mulleinmux/internal/gateway"
)

// writeGauge writes a gauge without labels in the Prometheus text format.
func writeGauge(w io.Writer, name, help string, value any) {
	fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s gauge\n%s %v\n", name, help, name, name, value)
}

// serveMetrics responds with the member's metrics in the Prometheus text format.
func (m *Member) serveMetrics(w http.ResponseWriter, r *http.Request) {
	status, err := m.status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	writeStatusMetrics(w, status)
	if m.followers != nil {
		m.followers.writeMetrics(w)
	}
	if instance := m.startedInstance(); instance != nil {
		writeGauge(w, "mulleingate_requests_unconfirmed",
			"Requests refused because the configuration was not confirmed.", instance.UnconfirmedCount())
		writeRequestMetrics(w, instance)
	}
}

func writeStatusMetrics(w io.Writer, s *Status) {
	isServing := 0
	if s.IsServing {
		isServing = 1
	}
	writeGauge(w, "mulleingate_config_version", "Version applied at this member.", s.Version)
	writeGauge(w, "mulleingate_config_installed", "Version in force at this instance.", s.InstalledVersion)
	writeGauge(w, "mulleingate_config_age_seconds",
		"Since a quorum last confirmed it; -1: not since the start.", float64(s.ConfirmedAgeMs)/1000)
	writeGauge(w, "mulleingate_serves", "1 if requests are served.", isServing)
	writeGauge(w, "mulleingate_raft_leader", "Number of the member that leads; 0: none is known.", s.Leader)
	writeGauge(w, "mulleingate_raft_applied_index", "Index of the last entry applied.", s.AppliedIndex)
}

// requestTotals are an operation's counters.
type requestTotals struct{ served, refused, failed, units int64 }

// writeRequestMetrics writes the counters of the instance's operations, by name.
func writeRequestMetrics(w io.Writer, instance *gateway.Instance) {
	totals := map[string]requestTotals{}
	instance.EachOperation(func(operation string, c *gateway.Counters) {
		totals[operation] = requestTotals{c.Served.Load(), c.Refused.Load(), c.Failed.Load(), c.Units.Load()}
	})
	operations := slices.Sorted(maps.Keys(totals))
	fmt.Fprintf(w, "# TYPE mulleingate_requests_total counter\n")
	for _, operation := range operations {
		t := totals[operation]
		writeCount := func(answer string, count int64) {
			fmt.Fprintf(w, "mulleingate_requests_total{operation=%q,answer=%q} %d\n", operation, answer, count)
		}
		writeCount("served", t.served)
		writeCount("refused", t.refused)
		writeCount("failed", t.failed)
	}
	fmt.Fprintf(w, "# TYPE mulleingate_units_total counter\n")
	for _, operation := range operations {
		fmt.Fprintf(w, "mulleingate_units_total{operation=%q} %d\n", operation, totals[operation].units)
	}
}

// writeMetrics writes the number of followers in each state, as far as the members know.
func (s *followerServer) writeMetrics(w io.Writer) {
	s.mu.Lock()
	followers := s.publisher.Statuses(s.now())
	s.mu.Unlock()
	states := map[string]int{
		configstream.StateRunning: 0,
		configstream.StateWaiting: 0,
		configstream.StateUnknown: 0,
		configstream.StateNever:   0,
	}
	behind, refusing, twins := 0, 0, 0
	for _, f := range followers {
		states[f.State]++
		if f.IsBehind {
			behind++
		}
		rejection := f.LatestRejection
		if rejection != nil && (f.Running == nil || rejection.Compare(*f.Running) == configstream.OrderNewer) {
			refusing++
		}
		if f.NameConflict != "" {
			twins++
		}
	}
	fmt.Fprint(w, "# HELP mulleingate_followers Followers agreed on, by how they stand.\n"+
		"# TYPE mulleingate_followers gauge\n")
	for _, state := range slices.Sorted(maps.Keys(states)) {
		fmt.Fprintf(w, "mulleingate_followers{state=%q} %d\n", state, states[state])
	}
	writeGauge(w, "mulleingate_followers_behind", "Followers that run and do not have the newest version.", behind)
	writeGauge(w, "mulleingate_followers_refusing",
		"Followers that have refused a version newer than what they run.", refusing)
	writeGauge(w, "mulleingate_followers_twins", "Names that two processes have.", twins)
}
