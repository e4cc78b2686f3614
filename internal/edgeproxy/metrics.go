package edgeproxy

import (
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"sync"
)

// metricsKey is the key of the metrics in log lines.
const metricsKey = "metrics"

// metrics counts requests by class and outcome, and attempts, since the start of the process.
type metrics struct {
	classes []string // sorted

	mu                  sync.Mutex
	outcomes            map[string]*outcomeCounts // by class
	inFlight            int                       // requests received and not yet ended
	sentAttempts        int64                     // attempts that were written completely
	sentAfterDisconnect int64                     // of these, those whose client was known to have disconnected
}

// outcomeCounts counts the final answers to the requests of one class.
type outcomeCounts struct{ served, rejected, failed int64 }

// newMetrics returns metrics for the classes with the given names.
func newMetrics(classes []string) *metrics {
	m := &metrics{classes: append([]string(nil), classes...), outcomes: map[string]*outcomeCounts{}}
	sort.Strings(m.classes)
	for _, name := range m.classes {
		m.outcomes[name] = &outcomeCounts{}
	}
	return m
}

// requestStarted counts a request that was received completely.
func (m *metrics) requestStarted() {
	m.mu.Lock()
	m.inFlight++
	m.mu.Unlock()
}

// requestEnded counts the outcome of a request once its last byte was written or its client has disconnected.
func (m *metrics) requestEnded(class string, kind answerKind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	switch o := m.outcomes[class]; kind {
	case answerServed:
		o.served++
	case answerRejected:
		o.rejected++
	default:
		o.failed++
	}
}

// attemptSent counts an attempt whose last byte was written, and whether its client had disconnected by then.
func (m *metrics) attemptSent(isClientDisconnected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sentAttempts++; isClientDisconnected {
		m.sentAfterDisconnect++
	}
}

// text formats the metrics as one key=value pair per line.
func (m *metrics) text(serverCount, unhealthyCount int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	for _, name := range m.classes {
		o := m.outcomes[name]
		fmt.Fprintf(&b, metricServed+metricRejected+metricFailed, name, o.served, name, o.rejected, name, o.failed)
	}
	fmt.Fprintf(&b, metricSentAttempts+metricSentAfterDisconnect, m.sentAttempts, m.sentAfterDisconnect)
	fmt.Fprintf(&b, metricInFlight+metricServers+metricUnhealthy, m.inFlight, serverCount, unhealthyCount)
	return b.String()
}

// metricsText formats the metrics of the node and its engine as one key=value pair per line.
func (n *Node) metricsText() string {
	n.mu.Lock()
	serverCount, unhealthyCount := n.engine.ServerCounts(n.now())
	subsetSize, suspectedCount := n.engine.SubsetCounts()
	var b strings.Builder
	fmt.Fprintf(&b, metricSubsetSize+metricSubsetSuspected, subsetSize, suspectedCount)
	n.engine.EachRejectionCount(func(rule string, count uint64) {
		fmt.Fprintf(&b, metricRejectedByRule, rule, count)
	})
	overQuota := n.engine.Quotas().OverQuota
	fmt.Fprintf(&b, metricOverQuotaSent, overQuota.Sent)
	fmt.Fprintf(&b, metricOverQuotaDiscovered, overQuota.Discovered)
	n.mu.Unlock()
	return n.metrics.text(serverCount, unhealthyCount) + b.String() + n.hostMetricsText()
}

// hostMetricsText formats the metrics of what the host decides without the engine.
func (n *Node) hostMetricsText() string {
	var b strings.Builder
	used, limit, counts := n.memory.usage()
	fmt.Fprintf(&b, metricMemory, used, limit)
	fmt.Fprintf(&b, metricMemoryDecisions, counts.Waits, counts.Refusals, counts.Evictions)
	fmt.Fprintf(&b, metricSentIDs, n.ids.dropped())
	return b.String() + n.events.text()
}

// metricsAttr returns the metrics as a log attribute.
func (n *Node) metricsAttr() slog.Attr {
	var attrs []any
	for _, metric := range strings.Fields(n.metricsText()) {
		name, value, _ := strings.Cut(metric, "=")
		attrs = append(attrs, slog.String(name, value))
	}
	return slog.Group(metricsKey, attrs...)
}
