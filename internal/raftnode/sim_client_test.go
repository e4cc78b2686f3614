package raftnode

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"mulleinmux/clusterconfig"
)

// The object that clients read and write, as the linearizability checker sees it, is a
// register: a value, and the version in force, since a proposal may require the version that
// it builds on.
type registerState struct {
	value   string
	version uint64
}

// anyBase is the base of a write that requires no version.
const anyBase = -1

type registerRequest struct {
	read  bool
	value string // to be written
	base  int64  // the version that a write requires, or anyBase
}

type registerResponse struct {
	value    string
	version  uint64
	rejected bool
	unknown  bool // it may have been applied, then or later, or never
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, request, response any) []any {
		return nextStates(state.(registerState), request.(registerRequest), response.(registerResponse))
	},
	Equal: func(a, b any) bool { return a == b },
}

// nextStates returns the states in which a request may have left the register, given its
// response; none if the response is impossible.
func nextStates(state registerState, request registerRequest, response registerResponse) []any {
	if request.read {
		if response.unknown || response.value == state.value && response.version == state.version {
			return []any{state}
		}
		return nil
	}
	written := registerState{request.value, state.version + 1}
	isBaseCurrent := request.base < 0 || uint64(request.base) == state.version
	switch {
	case response.unknown && isBaseCurrent:
		return []any{state, written}
	case response.unknown:
		return []any{state}
	case response.rejected && !isBaseCurrent && response.version == state.version:
		return []any{state}
	case !response.rejected && isBaseCurrent && response.version == written.version:
		return []any{written}
	}
	return nil
}

// simClient is one operator, with one request under way at a time.
type simClient struct {
	isWaiting   bool
	operationID int
	request     registerRequest
	proposal    *clusterconfig.Proposal // of a write
	sentTick    int                     // of the first attempt
	version     uint64                  // last seen
	member      *simMember              // that the request was last sent to
}

// beginRequest has a client begin a random request at a random member.
func (c *simCluster) beginRequest(client *simClient) {
	client.isWaiting = true
	client.operationID = c.operationCount
	client.sentTick = c.tick
	c.operationCount++
	client.member = c.randomMember()
	if c.rng.Float64() < 0.6 {
		c.drawWrite(client)
	} else {
		client.request = registerRequest{read: true}
	}
	c.recordEvent(porcupine.CallEvent, client.operationID, client.request)
	c.sendRequest(client)
}

// drawWrite has a client write a new value, in half of the cases on the version it has seen.
func (c *simCluster) drawWrite(client *simClient) {
	c.valueCount++
	client.request = registerRequest{value: fmt.Sprintf("plan-%d", c.valueCount), base: anyBase}
	client.proposal = putPlanProposal(fmt.Sprintf("op-%d", c.valueCount), c.valueCount)
	if c.rng.Float64() < 0.5 {
		base := client.version
		client.request.base = int64(base)
		client.proposal.BaseVersion = &base
	}
}

// sendRequest sends the client's request to the member that it has chosen. A response is
// taken unless the client has given the request up.
func (c *simCluster) sendRequest(client *simClient) {
	core := client.member.core
	if core == nil {
		return
	}
	operationID := client.operationID
	isCurrent := func() bool { return client.isWaiting && client.operationID == operationID }
	if client.request.read {
		core.ReadIndex(func(err error) {
			if err == nil && isCurrent() {
				c.completeRequest(client, registerResponse{
					value:   valueOf(core.State()),
					version: core.State().Version(),
				})
			}
		})
		return
	}
	core.Propose(client.proposal, func(o clusterconfig.Outcome, err error) {
		if err == nil && isCurrent() {
			c.completeRequest(client, registerResponse{version: o.Version, rejected: !o.IsApplied})
		}
	})
}

// completeRequest ends a client's request with a response.
func (c *simCluster) completeRequest(client *simClient, response registerResponse) {
	client.isWaiting = false
	if !response.unknown {
		client.version = response.version
	}
	c.recordEvent(porcupine.ReturnEvent, client.operationID, response)
}

// runClient has a client begin or repeat a request. A proposal whose answer is lost is
// repeated, under its id, at another member; a read is given up after a while.
func (c *simCluster) runClient(client *simClient) {
	waited := c.tick - client.sentTick
	switch {
	case !client.isWaiting && c.rng.Float64() < 0.2:
		c.beginRequest(client)
	case client.isWaiting && waited%40 == 39:
		if client.request.read && waited > 100 {
			c.completeRequest(client, registerResponse{unknown: true})
			return
		}
		client.member = c.randomMember()
		c.sendRequest(client)
	}
}

func (c *simCluster) recordEvent(kind porcupine.EventKind, operationID int, value any) {
	c.events = append(c.events, porcupine.Event{ClientId: 0, Kind: kind, Value: value, Id: operationID})
}

// checkHistory checks that what the clients have seen is linearizable.
func (c *simCluster) checkHistory() {
	result := porcupine.CheckEventsTimeout(registerModel.ToModel(), c.events, 20*time.Second)
	if result != porcupine.Ok {
		c.fatalf("the history of %d operations is %s", c.operationCount, result)
	}
}

// valueOf returns the register's value in a state.
func valueOf(s *clusterconfig.State) string {
	if plan, ok := clusterconfig.ObjectsByName[clusterconfig.Plan](s, "plan")["x"]; ok {
		return fmt.Sprintf("plan-%d", int(plan.PriorityFactor))
	}
	return ""
}
