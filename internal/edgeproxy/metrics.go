package edgeproxy

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// metrics are what operators read: requests by class and outcome since the start.
type metrics struct {
	mu             sync.Mutex
	classes        []string // sorted
	outcomes       map[string]*outcomeCounts
	inFlight       int   // requests taken and not yet ended
	sentAttempts   int64 // attempts written whole
	sentAfterLeave int64 // of these, such as were written for a client that was known to have left
}

// outcomeCounts counts the final answers that one class's requests had.
type outcomeCounts struct{ served, rejected, failed int64 }

func newMetrics(classes []string) *metrics {
	c := &metrics{classes: append([]string(nil), classes...), outcomes: map[string]*outcomeCounts{}}
	sort.Strings(c.classes)
	for _, name := range c.classes {
		c.outcomes[name] = &outcomeCounts{}
	}
	return c
}

// requestStarted counts a request that has come whole.
func (m *metrics) requestStarted() {
	m.mu.Lock()
	m.inFlight++
	m.mu.Unlock()
}

// requestEnded counts a request as ended, once its last byte is written or its client has gone.
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

// attemptSent counts an attempt whose last byte is written, and whether its client had left by then.
func (m *metrics) attemptSent(left bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sentAttempts++; left {
		m.sentAfterLeave++
	}
}

// text words the figures, one a line.
func (m *metrics) text(size, unhealthy int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	for _, name := range m.classes {
		o := m.outcomes[name]
		fmt.Fprintf(&b, "app.answered.%s=%d\napp.deferred.%s=%d\napp.errored.%s=%d\n",
			name, o.served, name, o.rejected, name, o.failed)
	}
	fmt.Fprintf(&b, "app.sends=%d\napp.sends_after_leave=%d\napp.current=%d\napp.cluster_size=%d\napp.cluster_unhealthy=%d\n",
		m.sentAttempts, m.sentAfterLeave, m.inFlight, size, unhealthy)
	return b.String()
}

// metricsText words what operators read.
func (n *Node) metricsText() string {
	n.mu.Lock()
	size, unhealthy := n.engine.ServerCounts(n.now())
	part, doubted := n.engine.SubsetCounts()
	var rules strings.Builder
	fmt.Fprintf(&rules, "choice.part=%d\nchoice.part_doubted=%d\n", part, doubted)
	n.engine.EachRejectionCount(func(rule string, count uint64) { fmt.Fprintf(&rules, "choice.refused.%s=%d\n", rule, count) })
	b := n.engine.OverQuotaUnits()
	fmt.Fprintf(&rules, "choice.beyond_quota.sent=%.0f\nchoice.beyond_quota.found=%.0f\n", b.Sent, b.Discovered)
	n.mu.Unlock()
	return n.metrics.text(size, unhealthy) + rules.String()
}
