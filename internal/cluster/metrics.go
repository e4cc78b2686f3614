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
	answerRejected = wordRejected
	answerFailed   = "failed"
)

// statusGauge is a gauge of a member's status.
type statusGauge struct {
	desc  *prometheus.Desc
	value func(*Status) float64
}

// confirmedAgeDesc describes the age of the version's last confirmation.
var confirmedAgeDesc = newGaugeDesc("mulleingate_config_age_seconds",
	"Since a quorum last confirmed it; -1: not since the start.")

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
		newGaugeDesc("mulleingate_raft_leader", "Number of the member that leads; 0: none is known."),
		func(s *Status) float64 { return float64(s.Leader) },
	},
	{
		newGaugeDesc("mulleingate_raft_applied_index", "Index of the last entry applied."),
		func(s *Status) float64 { return float64(s.AppliedIndex) },
	},
}

// followersDesc describes the number of followers in each state.
var followersDesc = prometheus.NewDesc("mulleingate_followers",
	"Followers agreed on, by how they stand.", []string{labelState}, nil)

// followerGauge is the number of followers of which something holds.
type followerGauge struct {
	desc  *prometheus.Desc
	holds func(*configstream.StreamStatus) bool
}

// followerGauges are the gauges of followers besides those by state.
var followerGauges = []followerGauge{
	{
		newGaugeDesc("mulleingate_followers_behind", "Followers that run and do not have the newest version."),
		func(s *configstream.StreamStatus) bool { return s.IsBehind },
	},
	{
		newGaugeDesc("mulleingate_followers_refusing",
			"Followers that have refused a version newer than what they run."),
		(*configstream.StreamStatus).IsRejecting,
	},
	{
		newGaugeDesc("mulleingate_followers_twins", "Names that two processes have."),
		func(s *configstream.StreamStatus) bool { return s.NameConflict != "" },
	},
}

// Metrics of an instance's requests. Those by operation have never had a help text.
var (
	requestsUnconfirmedDesc = newGaugeDesc("mulleingate_requests_unconfirmed",
		"Requests refused because the configuration was not confirmed.")
	requestsDesc = prometheus.NewDesc("mulleingate_requests_total", "",
		[]string{labelOperation, labelAnswer}, nil)
	unitsDesc = prometheus.NewDesc("mulleingate_units_total", "",
		[]string{labelOperation}, nil)
)

// confirmedAgeSeconds is an age in seconds, or -1 where there was no confirmation.
func confirmedAgeSeconds(ageMs int64) float64 {
	if ageMs < 0 {
		return -1
	}
	return float64(ageMs) / 1000
}

// newGaugeDesc describes a gauge without labels.
func newGaugeDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, nil, nil)
}

// gauge returns the value of a gauge.
func gauge(desc *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return constMetric(desc, prometheus.GaugeValue, value, labels)
}

// counter returns the value of a counter.
func counter(desc *prometheus.Desc, value int64, labels ...string) prometheus.Metric {
	return constMetric(desc, prometheus.CounterValue, float64(value), labels)
}

// constMetric returns a value as it is now. One that the library rejects makes the scrape fail, and nothing else.
func constMetric(
	desc *prometheus.Desc, valueType prometheus.ValueType, value float64, labels []string,
) prometheus.Metric {
	metric, err := prometheus.NewConstMetric(desc, valueType, value, labels...)
	if err != nil {
		return prometheus.NewInvalidMetric(desc, err)
	}
	return metric
}

// boolValue is 1 for true.
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

// metricsCollector collects a member's metrics for one scrape. The hosts' counters are read here and nowhere else, so
// that requests pay for their atomic additions alone.
type metricsCollector struct {
	status    *Status
	followers *followerServer   // nil: the member serves none
	instance  *gateway.Instance // nil: it has not started
}

// exposition returns the metrics in the Prometheus text format. The registry is the scrape's own: it has none of the
// library's metrics of the process, and the status that it is given cannot fail to be read.
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
		out <- counter(requestsDesc, c.Refused.Load(), operation, answerRejected)
		out <- counter(requestsDesc, c.Failed.Load(), operation, answerFailed)
		out <- counter(unitsDesc, c.Units.Load(), operation)
	})
}

// collect sends the number of followers in each state, as far as the members know.
func (s *followerServer) collect(out chan<- prometheus.Metric) {
	s.mu.Lock()
	followers := s.publisher.Statuses(s.now())
	s.mu.Unlock()
	states := map[string]int{
		configstream.StateRunning: 0,
		configstream.StateWaiting: 0,
		configstream.StateUnknown: 0,
		configstream.StateNever:   0,
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
			if g.holds(&followers[i]) {
				count++
			}
		}
		out <- gauge(g.desc, float64(count))
	}
}
