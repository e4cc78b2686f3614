// Command simadapter connects policy engines to the simulator. It reads batches of events from standard input and
// writes one reply per batch to standard output. It makes no decisions of its own.
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

// host holds the engines of all instances and the reply to the current batch.
type host struct {
	engines     map[int]*policy.Engine // by instance
	now         time.Duration
	isBatchOpen bool
	reply       simwire.Reply
}

// run replies to batches of events until the end of the input.
func run(in io.Reader, out io.Writer) error {
	r := simwire.NewReader(in)
	w := bufio.NewWriterSize(out, 1<<16)
	h := host{engines: map[int]*policy.Engine{}}
	for {
		ev, err := r.Next()
		if err == io.EOF && h.isBatchOpen {
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

// openBatch begins a batch of events that happen at time now.
func (h *host) openBatch(now time.Duration) error {
	if h.isBatchOpen {
		return errors.New("CLOCK inside a batch")
	}
	if now < h.now {
		return errors.New("CLOCK goes backwards")
	}
	h.isBatchOpen, h.now = true, now
	return nil
}

// handle handles one event.
func (h *host) handle(ev any) error {
	if clock, ok := ev.(simwire.Clock); ok {
		return h.openBatch(clock.Now)
	}
	if !h.isBatchOpen {
		return errors.New("message outside a batch")
	}
	switch e := ev.(type) {
	case simwire.BatchEnd:
		h.isBatchOpen = false
	case simwire.InstanceStarted:
		engine, err := policy.New(e.Settings, e.Seed)
		if err != nil {
			return err
		}
		h.engines[e.Instance] = engine
		return h.deliver(e.Instance, func(engine *policy.Engine) { engine.Start(h.now, &h.reply) })
	case simwire.InstanceStopped:
		if _, ok := h.engines[e.Instance]; !ok {
			return fmt.Errorf("unknown instance %d", e.Instance)
		}
		delete(h.engines, e.Instance)
	case simwire.EndpointsChanged:
		return h.deliver(e.Instance, func(engine *policy.Engine) {
			engine.EndpointsChanged(h.now, e.Kind, e.Servers, &h.reply)
		})
	case simwire.RequestArrived:
		return h.deliver(e.Instance, func(engine *policy.Engine) { engine.RequestReceived(h.now, e.Request, &h.reply) })
	case simwire.ResponseHeadersReceived:
		return h.deliver(e.Instance, func(engine *policy.Engine) {
			engine.ResponseStarted(h.now, e.ID, e.Attempt, &h.reply)
		})
	case simwire.AttemptCompleted:
		return h.deliver(e.Instance, func(engine *policy.Engine) { engine.AttemptCompleted(h.now, e.Outcome, &h.reply) })
	case simwire.ClientDisconnected:
		return h.deliver(e.Instance, func(engine *policy.Engine) { engine.ClientDisconnected(h.now, e.ID, &h.reply) })
	case simwire.TimerFired:
		return h.deliver(e.Instance, func(engine *policy.Engine) { engine.TimerFired(h.now, e.Token, &h.reply) })
	case simwire.HealthCheckCompleted:
		return h.deliver(e.Instance, func(engine *policy.Engine) {
			engine.HealthCheckCompleted(h.now, e.Server, e.Result, e.LoadReport, &h.reply)
		})
	case simwire.GossipReceived:
		return h.deliver(e.Instance, func(engine *policy.Engine) {
			engine.GossipReceived(h.now, e.Peer, e.Payload, &h.reply)
		})
	case simwire.TotalReceived:
		return h.deliver(e.Instance, func(*policy.Engine) {})
	}
	return nil
}

// deliver passes one event to an instance's engine. A panic of the engine is reported in the reply.
func (h *host) deliver(instance int, event func(*policy.Engine)) error {
	engine, ok := h.engines[instance]
	if !ok {
		return fmt.Errorf("unknown instance %d", instance)
	}
	h.reply.Instance = instance
	defer func() {
		if p := recover(); p != nil {
			h.reply.ReportFailure(fmt.Sprint(p))
		}
	}()
	event(engine)
	return nil
}
