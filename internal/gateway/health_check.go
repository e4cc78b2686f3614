package gateway

import (
	"context"
	"time"

	"mulleinmux/internal/loadreport"
	"mulleinmux/policy"
)

const (
	healthCheckPath    = "/stats"
	healthCheckTimeout = 500 * time.Millisecond
)

// checkHealth sends a health check to a server and passes the result and the server's load report to the engine. The
// check takes at most healthCheckTimeout and ends with the instance's context.
func (in *Instance) checkHealth(id string) {
	defer in.healthChecks.Done()
	var resp response
	sent := in.host.now()
	request := exchangeRequest{
		server: id,
		limits: untilDeadline(time.Now().Add(healthCheckTimeout)),
		append: func(b []byte) []byte {
			return append(b, "GET "+healthCheckPath+" HTTP/1.1\r\nHost: "+healthCheckHost+"\r\n\r\n"...)
		},
	}
	control := &attemptControl{}
	defer context.AfterFunc(in.ctx, control.abort)()
	result := in.servers.exchange(in.ctx, control, request, &resp)
	report := resp.report()
	if report == nil && result == policy.OK {
		report = loadreport.Parse(string(resp.body))
	}
	in.host.handleEvent(func(now time.Duration, out policy.Actions) {
		if !isRemoteServer(id) || result != policy.OK {
			in.sites.recordResult(now, id, result, sent)
		}
		in.host.engine.HealthCheckCompleted(now, id, result, report, out)
	})
}
