// Command simadapter hosts gateways on the simulator's wire: batches of events on
// standard input, one reply each on standard output. It decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"mulleinmux/internal/simwire"
	"mulleinmux/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// host is the state of the process: its instances and the reply being written.
type host struct {
	gates map[int]*policy.Engine
	now   time.Duration
	open  bool // inside a batch
	reply simwire.Reply
}

func run(in io.Reader, out io.Writer) error {
	r := simwire.NewReader(in)
	w := bufio.NewWriterSize(out, 1<<16)
	h := host{gates: map[int]*policy.Engine{}}
	for {
		ev, err := r.Next()
		if err == io.EOF && h.open {
			return fmt.Errorf("line %d: input ends inside a batch", r.Line())
		}
		if err == io.EOF {
			return nil
		}
		if err == nil {
			err = h.handle(ev)
			if err != nil {
				err = fmt.Errorf("line %d: %w", r.Line(), err)
			}
		}
		if err != nil {
			return err
		}
		if _, ok := ev.(simwire.BatchEnd); ok {
			w.Write(h.reply.Take())
			if err := w.Flush(); err != nil {
				return fmt.Errorf("writing the reply: %w", err)
			}
		}
	}
}

func (h *host) handle(ev any) error {
	switch e := ev.(type) {
	case simwire.Clock:
		if h.open {
			return errors.New("CLOCK inside a batch")
		}
		if e.Now < h.now {
			return errors.New("CLOCK goes backwards")
		}
		h.open, h.now = true, e.Now
		return nil
	}
	if !h.open {
		return errors.New("message outside a batch")
	}
	switch e := ev.(type) {
	case simwire.BatchEnd:
		h.open = false
	case simwire.InstanceStarted:
		g, err := policy.New(e.Settings, e.Seed)
		if err != nil {
			return err
		}
		h.gates[e.Instance] = g
		return h.deliver(e.Instance, func(g *policy.Engine) { g.Start(h.now, &h.reply) })
	case simwire.InstanceStopped:
		if _, ok := h.gates[e.Instance]; !ok {
			return fmt.Errorf("unknown instance %d", e.Instance)
		}
		delete(h.gates, e.Instance)
	case simwire.EndpointsChanged:
		return h.deliver(e.Instance, func(g *policy.Engine) { g.EndpointsChanged(h.now, e.Kind, e.Servers, &h.reply) })
	case simwire.RequestArrived:
		return h.deliver(e.Instance, func(g *policy.Engine) { g.RequestReceived(h.now, e.Request, &h.reply) })
	case simwire.ResponseHeadersReceived:
		return h.deliver(e.Instance, func(g *policy.Engine) { g.ResponseStarted(h.now, e.ID, e.Attempt, &h.reply) })
	case simwire.AttemptCompleted:
		return h.deliver(e.Instance, func(g *policy.Engine) { g.AttemptCompleted(h.now, e.Outcome, &h.reply) })
	case simwire.ClientDisconnected:
		return h.deliver(e.Instance, func(g *policy.Engine) { g.ClientDisconnected(h.now, e.ID, &h.reply) })
	case simwire.TimerFired:
		return h.deliver(e.Instance, func(g *policy.Engine) { g.TimerFired(h.now, e.Token, &h.reply) })
	case simwire.HealthCheckCompleted:
		return h.deliver(e.Instance, func(g *policy.Engine) {
			g.HealthCheckCompleted(h.now, e.Server, e.Result, e.LoadReport, &h.reply)
		})
	case simwire.GossipReceived:
		return h.deliver(e.Instance, func(g *policy.Engine) { g.GossipReceived(h.now, e.Peer, e.Payload, &h.reply) })
	case simwire.TotalReceived:
		return h.deliver(e.Instance, func(*policy.Engine) {})
	}
	return nil
}

// deliver hands one event to an instance; a panic of the module becomes BROKEN.
func (h *host) deliver(inst int, f func(*policy.Engine)) error {
	g, ok := h.gates[inst]
	if !ok {
		return fmt.Errorf("unknown instance %d", inst)
	}
	h.reply.Instance = inst
	defer func() {
		if p := recover(); p != nil {
			h.reply.ReportFailure(fmt.Sprint(p))
		}
	}()
	f(g)
	return nil
}
