package policy_test

import (
	"fmt"
	"time"

	"mulleinmux/policy"
)

// printingHost is a host that only prints the actions.
type printingHost struct{}

func (printingHost) SendAttempt(id, server string, timeout time.Duration) {
	fmt.Println("send", id, "to", server)
}
func (printingHost) RejectRequest(id string, retryAfter time.Duration) { fmt.Println("reject", id) }
func (printingHost) FailRequest(id string)                             { fmt.Println("fail", id) }
func (printingHost) CancelAttempt(id string, attempt int)              { fmt.Println("cancel", id, attempt) }
func (printingHost) SetTimer(token uint64, after time.Duration)        {}
func (printingHost) CheckHealth(server string)                         {}
func (printingHost) SendGossip(peer int, message []byte)               {}
func (printingHost) WatchEndpoints(on bool)                            {}
func (printingHost) Log(event policy.LogEvent)                         { fmt.Println(event) }

func Example() {
	settings := policy.Settings{
		InstanceCount: 1,
		Classes: []policy.Class{{Name: "read", Idempotency: policy.Idempotent,
			LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans: []policy.Plan{{Name: "basic", Rate: 1, Burst: 2, PriorityFactor: 1}},
	}
	engine, err := policy.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	var host printingHost
	now := time.Duration(0)
	engine.Start(now, host)
	engine.EndpointsChanged(now, policy.EndpointsComplete, []policy.Server{{ID: "alpha"}}, host)
	for _, id := range []string{"r1", "r2", "r3"} {
		engine.RequestReceived(now, policy.Request{ID: id, Class: "read", Plan: "basic", Customer: 7,
			Timeout: time.Second, Units: 1, InstanceCount: 1}, host)
	}
	engine.AttemptCompleted(now, policy.AttemptResult{ID: "r1", Result: policy.OK, RequestAnswered: true,
		Latency: 20 * time.Millisecond}, host)
	// Output:
	// send r1 to alpha
	// send r2 to alpha
	// reject r3
}
