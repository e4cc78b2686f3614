package edgeproxy

import (
	"context"
	"time"

	"mulleinmux/internal/loadreport"
	"mulleinmux/policy"
)

const (
	loadReportPath     = "/stats"               // path of an app server's load report
	healthCheckTimeout = 500 * time.Millisecond // a later result would no longer describe the server's current state
)

// checkHealth requests a server's load report and passes the result to the engine.
func (n *Node) checkHealth(server string) {
	defer n.work.Done()
	ctx, cancel := context.WithTimeout(n.ctx, healthCheckTimeout)
	defer cancel()
	response, result := n.pool.exchange(ctx, server, &serverRequest{method: "GET", target: loadReportPath})
	report := response.loadReport
	if report == nil {
		report = loadreport.Parse(string(response.body))
	}
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		n.engine.HealthCheckCompleted(now, server, result, report, out)
	})
}
