package raftnode

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"mulleinmux/clusterconfig"
)

// registerState is the state of the object that clients read and write, as modeled for the linearizability checker: a
// register with a value and the current version, since a proposal may require the version on which it is based.
type registerState struct {
	value   string
	version uint64
}

// anyBase is the base of a write that requires no particular version.
const anyBase = -1

type registerRequest struct {
	read  bool
	value string // the value to write
	base  int64  // the version that a write requires, or anyBase
}

type registerResponse struct {
	value    string
	version  uint64
	rejected bool
	unknown  bool // the request may have been applied at that time, later or never
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, request, response any) []any {
		return nextStates(state.(registerState), request.(registerRequest), response.(registerResponse))
	},
	Equal: func(a, b any) bool { return a == b },
}

// nextStates returns the possible states of the register after a request with the given response. It returns nil if the
// response is impossible.
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

// simClient is one operator. It has at most one request pending at a time.
type simClient struct {
	isWaiting   bool
	operationID int
	request     registerRequest
	proposal    *clusterconfig.Proposal // the proposal of a write
	sentTick    int                     // tick of the first attempt
	version     uint64                  // version in the last response
	member      *simMember              // member to which the request was last sent
}

// beginRequest starts a random request of a client at a random member.
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

// drawWrite prepares a client's write of a new value. Half of the writes require the version that the client last saw.
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

// sendRequest sends the client's request to its chosen member. A response is ignored if the request has already ended.
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

// completeRequest records the response to a client's request, which ends the request.
func (c *simCluster) completeRequest(client *simClient, response registerResponse) {
	client.isWaiting = false
	if !response.unknown {
		client.version = response.version
	}
	c.recordEvent(porcupine.ReturnEvent, client.operationID, response)
}

// runClient runs one tick of a client, which may start or repeat a request. A proposal without a response is repeated
// with the same id at a random member. A read without a response is repeated, and abandoned after 100 ticks.
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

// checkHistory checks that the clients' history is linearizable.
func (c *simCluster) checkHistory() {
	result := porcupine.CheckEventsTimeout(registerModel.ToModel(), c.events, 20*time.Second)
	if result != porcupine.Ok {
		c.fatalf("linearizability check of %d operations: got %s, want Ok", c.operationCount, result)
	}
}

// valueOf returns the register's value in a configuration state.
func valueOf(s *clusterconfig.State) string {
	if plan, ok := clusterconfig.ObjectsByName[clusterconfig.Plan](s, "plan")["x"]; ok {
		return fmt.Sprintf("plan-%d", int(plan.PriorityFactor))
	}
	return ""
}
