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
	answerServed  = "served"
	answerRefused = "refused"
	answerFailed  = "failed"
)

// Metrics of a member's status.
var (
	configVersionDesc = newGaugeDesc("mulleingate_config_version",
		"Version applied at this member.")
	configInstalledDesc = newGaugeDesc("mulleingate_config_installed",
		"Version in force at this instance.")
	configAgeDesc = newGaugeDesc("mulleingate_config_age_seconds",
		"Since a quorum last confirmed it; -1: not since the start.")
	servesDesc = newGaugeDesc("mulleingate_serves",
		"1 if requests are served.")
	raftLeaderDesc = newGaugeDesc("mulleingate_raft_leader",
		"Number of the member that leads; 0: none is known.")
	raftAppliedIndexDesc = newGaugeDesc("mulleingate_raft_applied_index",
		"Index of the last entry applied.")
)

// Metrics of the followers.
var (
	followersDesc = prometheus.NewDesc("mulleingate_followers",
		"Followers agreed on, by how they stand.", []string{labelState}, nil)
	followersBehindDesc = newGaugeDesc("mulleingate_followers_behind",
		"Followers that run and do not have the newest version.")
	followersRefusingDesc = newGaugeDesc("mulleingate_followers_refusing",
		"Followers that have refused a version newer than what they run.")
	followersTwinsDesc = newGaugeDesc("mulleingate_followers_twins",
		"Names that two processes have.")
)

// Metrics of an instance's requests. Those by operation have never had a help text.
var (
	requestsUnconfirmedDesc = newGaugeDesc("mulleingate_requests_unconfirmed",
		"Requests refused because the configuration was not confirmed.")
	requestsDesc = prometheus.NewDesc("mulleingate_requests_total", "",
		[]string{labelOperation, labelAnswer}, nil)
	unitsDesc = prometheus.NewDesc("mulleingate_units_total", "",
		[]string{labelOperation}, nil)
)

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
func (m *Member) serveMetrics(w http.ResponseWriter, r *http.Request) {
	status, err := m.status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	collector := &metricsCollector{status: status, followers: m.followers, instance: m.startedInstance()}
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
	for _, desc := range []*prometheus.Desc{
		configVersionDesc, configInstalledDesc, configAgeDesc, servesDesc, raftLeaderDesc, raftAppliedIndexDesc,
		followersDesc, followersBehindDesc, followersRefusingDesc, followersTwinsDesc,
		requestsUnconfirmedDesc, requestsDesc, unitsDesc,
	} {
		out <- desc
	}
}

// Collect sends the values of all metrics.
func (c *metricsCollector) Collect(out chan<- prometheus.Metric) {
	collectStatus(out, c.status)
	if c.followers != nil {
		c.followers.collect(out)
	}
	if c.instance != nil {
		collectRequests(out, c.instance)
	}
}

func collectStatus(out chan<- prometheus.Metric, s *Status) {
	out <- gauge(configVersionDesc, float64(s.Version))
	out <- gauge(configInstalledDesc, float64(s.InstalledVersion))
	out <- gauge(configAgeDesc, float64(s.ConfirmedAgeMs)/1000)
	out <- gauge(servesDesc, boolValue(s.IsServing))
	out <- gauge(raftLeaderDesc, float64(s.Leader))
	out <- gauge(raftAppliedIndexDesc, float64(s.AppliedIndex))
}

// collectRequests sends the counters of the instance's operations.
func collectRequests(out chan<- prometheus.Metric, instance *gateway.Instance) {
	out <- gauge(requestsUnconfirmedDesc, float64(instance.UnconfirmedCount()))
	instance.EachOperation(func(operation string, c *gateway.Counters) {
		out <- counter(requestsDesc, c.Served.Load(), operation, answerServed)
		out <- counter(requestsDesc, c.Refused.Load(), operation, answerRefused)
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
	for state, count := range states {
		out <- gauge(followersDesc, float64(count), state)
	}
	out <- gauge(followersBehindDesc, float64(behind))
	out <- gauge(followersRefusingDesc, float64(refusing))
	out <- gauge(followersTwinsDesc, float64(twins))
}
