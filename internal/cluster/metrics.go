package cluster

import (
	"bytes"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"mulleinmux/configstream"
	"mulleinmux/internal/gateway"
)

// metricsContentType is the media type of the Prometheus text format.
const metricsContentType = "text/plain; version=0.0.4"

// Labels of the metrics.
const (
	labelOperation = "operation"
	labelAnswer    = "answer"
	labelState     = "state"
)

// Values of [labelAnswer].
const (
	answerServed   = "served"
	answerRejected = rejectedLabel
	answerFailed   = "failed"
)

// statusGauge is a gauge of a member's status.
type statusGauge struct {
	desc  *prometheus.Desc
	value func(*Status) float64
}

// confirmedAgeDesc describes the age of the version's last confirmation.
var confirmedAgeDesc = newGaugeDesc("mulleingate_config_age_seconds",
	"Seconds since a quorum last confirmed the configuration; -1 if none has since the start.")

// statusGauges are the gauges of a member's status.
var statusGauges = []statusGauge{
	{
		newGaugeDesc("mulleingate_config_version", "Version applied at this member."),
		func(s *Status) float64 { return float64(s.Version) },
	},
	{
		newGaugeDesc("mulleingate_config_installed", "Version in force at this instance."),
		func(s *Status) float64 { return float64(s.InstalledVersion) },
	},
	{
		confirmedAgeDesc,
		func(s *Status) float64 { return confirmedAgeSeconds(s.ConfirmedAgeMs) },
	},
	{
		newGaugeDesc("mulleingate_serves", "1 if requests are served."),
		func(s *Status) float64 { return boolValue(s.IsServing) },
	},
	{
		newGaugeDesc("mulleingate_raft_leader", "Number of the leading member; 0 if no leader is known."),
		func(s *Status) float64 { return float64(s.Leader) },
	},
	{
		newGaugeDesc("mulleingate_raft_applied_index", "Index of the last entry applied."),
		func(s *Status) float64 { return float64(s.AppliedIndex) },
	},
}

// followersDesc describes the number of followers in each state.
var followersDesc = prometheus.NewDesc("mulleingate_followers",
	"Configured followers by state.", []string{labelState}, nil)

// followerGauge is a gauge of the followers whose status matches a condition.
type followerGauge struct {
	desc    *prometheus.Desc
	matches func(*configstream.ObservedStatus) bool
}

// followerGauges are the gauges of followers besides those by state.
var followerGauges = []followerGauge{
	{
		newGaugeDesc("mulleingate_followers_behind", "Followers that run and do not have the newest version."),
		func(s *configstream.ObservedStatus) bool { return s.IsBehind },
	},
	{
		newGaugeDesc("mulleingate_followers_refusing",
			"Followers that have refused a version newer than what they run."),
		(*configstream.ObservedStatus).IsRejecting,
	},
	{
		newGaugeDesc("mulleingate_followers_twins", "Configured followers whose name two processes use."),
		func(s *configstream.ObservedStatus) bool { return s.NameConflict != "" },
	},
}

// Metrics of an instance's requests. The metrics by operation have no help text.
var (
	requestsUnconfirmedDesc = newGaugeDesc("mulleingate_requests_unconfirmed",
		"Requests refused because the configuration was not confirmed.")
	requestsDesc = prometheus.NewDesc("mulleingate_requests_total", "",
		[]string{labelOperation, labelAnswer}, nil)
	unitsDesc = prometheus.NewDesc("mulleingate_units_total", "",
		[]string{labelOperation}, nil)
)

// confirmedAgeSeconds converts an age to seconds. It returns -1 if there was no confirmation.
func confirmedAgeSeconds(ageMs int64) float64 {
	if ageMs < 0 {
		return -1
	}
	return float64(ageMs) / 1000
}

// newGaugeDesc returns the description of a gauge without labels.
func newGaugeDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, nil, nil)
}

// gauge returns a sample of a gauge.
func gauge(desc *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return constMetric(desc, prometheus.GaugeValue, value, labels)
}

// counter returns a sample of a counter.
func counter(desc *prometheus.Desc, value int64, labels ...string) prometheus.Metric {
	return constMetric(desc, prometheus.CounterValue, float64(value), labels)
}

// constMetric returns a sample with a fixed value. A sample that the library rejects fails only the scrape.
func constMetric(
	desc *prometheus.Desc, valueType prometheus.ValueType, value float64, labels []string,
) prometheus.Metric {
	metric, err := prometheus.NewConstMetric(desc, valueType, value, labels...)
	if err != nil {
		return prometheus.NewInvalidMetric(desc, err)
	}
	return metric
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// serveMetrics responds with the member's metrics in the Prometheus text format.
func (a *adminServer) serveMetrics(w http.ResponseWriter, r *http.Request) {
	status, err := a.status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	collector := &metricsCollector{status: status, followers: a.member.followers, instance: a.member.startedInstance()}
	text, err := collector.exposition()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", metricsContentType)
	w.Write(text)
}

// metricsCollector collects a member's metrics for one scrape. The instance's counters are read only here, so that the
// metrics cost a request no more than atomic additions.
type metricsCollector struct {
	status    *Status
	followers *followerServer   // nil if the member serves none
	instance  *gateway.Instance // nil if it has not started
}

// exposition returns the metrics in the Prometheus text format. Each scrape has a registry of its own, which
// has none of the library's process metrics. The status was read before, so that collecting it can't fail.
func (c *metricsCollector) exposition() ([]byte, error) {
	registry := prometheus.NewPedanticRegistry()
	if err := registry.Register(c); err != nil {
		return nil, err
	}
	families, err := registry.Gather()
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	for _, family := range families {
		if family.GetHelp() == "" {
			family.Help = nil // no HELP line rather than an empty one
		}
		if _, err := expfmt.MetricFamilyToText(&text, family); err != nil {
			return nil, err
		}
	}
	return text.Bytes(), nil
}

// Describe sends the descriptions of all metrics.
func (c *metricsCollector) Describe(out chan<- *prometheus.Desc) {
	for _, g := range statusGauges {
		out <- g.desc
	}
	for _, g := range followerGauges {
		out <- g.desc
	}
	for _, desc := range []*prometheus.Desc{followersDesc, requestsUnconfirmedDesc, requestsDesc, unitsDesc} {
		out <- desc
	}
}

// Collect sends the values of all metrics.
func (c *metricsCollector) Collect(out chan<- prometheus.Metric) {
	for _, g := range statusGauges {
		out <- gauge(g.desc, g.value(c.status))
	}
	if c.followers != nil {
		c.followers.collect(out)
	}
	if c.instance != nil {
		collectRequests(out, c.instance)
	}
}

// collectRequests sends the counters of the instance's operations.
func collectRequests(out chan<- prometheus.Metric, instance *gateway.Instance) {
	out <- gauge(requestsUnconfirmedDesc, float64(instance.UnconfirmedCount()))
	instance.EachOperation(func(operation string, c *gateway.Counters) {
		out <- counter(requestsDesc, c.Served.Load(), operation, answerServed)
		out <- counter(requestsDesc, c.Rejected.Load(), operation, answerRejected)
		out <- counter(requestsDesc, c.Failed.Load(), operation, answerFailed)
		out <- counter(unitsDesc, c.SentUnits.Load(), operation)
	})
}

// collect sends the number of followers in each state, as known to the members.
func (s *followerServer) collect(out chan<- prometheus.Metric) {
	s.mu.Lock()
	followers := s.publisher.Statuses(s.now())
	s.mu.Unlock()
	states := map[string]int{
		configstream.StateRunning:        0,
		configstream.StateWaiting:        0,
		configstream.StateUnknown:        0,
		configstream.StateNeverConnected: 0,
	}
	for _, f := range followers {
		states[f.State]++
	}
	for state, count := range states {
		out <- gauge(followersDesc, float64(count), state)
	}
	for _, g := range followerGauges {
		count := 0
		for i := range followers {
			if g.matches(&followers[i]) {
				count++
			}
		}
		out <- gauge(g.desc, float64(count))
	}
}
