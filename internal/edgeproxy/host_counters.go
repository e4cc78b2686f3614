package edgeproxy

import (
	"fmt"
	"strings"
	"sync/atomic"
)

// hostEvent is something that the host decides without the engine, and why.
type hostEvent int

// The events, in the order of hostEventNames.
const (
	closedSilent        hostEvent = iota // evicted for another connection: nothing was received on it
	closedIdle                           // the same, between requests
	closedReading                        // the same, in the middle of a request, which got 503
	closedUnread                         // beyond the limit, when too many were being refused
	refusedAtLimit                       // its first request got 503: no connection could be evicted
	refusedLargeHead                     // 431
	refusedHeadMemory                    // 503: no memory for the request
	refusedBodyMemory                    // 429: no memory for the body, or it was evicted for others
	refusedExpired                       // 429: it waited too long before it was processed
	refusedShuttingDown                  // 503
	refusedRepeatedID                    // 409: the ID is in use, or was forwarded
	pacedRequest                         // it waited because earlier ones cost work in vain
	streamedLong                         // forwarding began before the end: the response is long
	streamedWhenDue                      // forwarding began because the final answer was due
	streamedForMemory                    // forwarding began for lack of memory
	hostEventCount
)

// hostEventNames are the names of the events in the metrics.
var hostEventNames = [hostEventCount]string{
	"closed.silent", "closed.idle", "closed.reading", "closed.unread",
	"refused.connections", "refused.large_head", "refused.head_memory", "refused.body_memory", "refused.expired",
	"refused.shutting_down", "refused.repeated_id", "paced", "streamed.long", "streamed.due", "streamed.memory",
}

// hostCounters counts the host's events since the start of the process. A nil pointer counts nothing.
type hostCounters struct{ counts [hostEventCount]atomic.Uint64 }

// count counts an event.
func (h *hostCounters) count(event hostEvent) {
	if h != nil {
		h.counts[event].Add(1)
	}
}

// text formats the counters as one key=value pair per line.
func (h *hostCounters) text() string {
	var b strings.Builder
	for event, name := range hostEventNames {
		fmt.Fprintf(&b, metricHostEvent, name, h.counts[event].Load())
	}
	return b.String()
}
