package gateway

import (
	"strconv"
	"strings"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/multisite"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// pendingRequest is a request of a client until it has its final answer.
type pendingRequest struct {
	id              string // the module's
	trace           string // X-Trace-Id
	requestHead     httpwire.Head
	body            []byte
	version         *version      // in force when it was matched: it keeps it
	confirmationAge time.Duration // of the version's last confirmation, then
	operation       *routing.Operation
	counters        *Counters
	licensee        string
	units           int
	deadline        time.Time
	wasSent         bool   // an attempt was written whole
	key             uint64 // of a keyed request that sites decides on
	hasKeyOwner     bool   // it is one
	mayRun          bool   // an attempt may have run

	cameByRelay bool   // it came over the link
	relayID     string // then
	isRelayed   bool   // the attempt under way crosses the link

	// Under the instance's mutex:
	isAnswered   bool // answer is final
	answer       outcome
	retryAfter   time.Duration   // of a refusal
	keyRejection string          // of one for the sake of its key
	next         attempt         // asked for and not begun
	hasNext      bool            // next is set
	current      *attemptControl // the attempt under way
	attempts     int
	isWaiting    bool // its goroutine waits for wake
	wake         chan struct{}
	response     response // of the latest attempt
}

type attempt struct {
	server   string
	deadline time.Time
}

type outcome int

func (k outcome) String() string { return [...]string{"served", "refused", "failed"}[k] }

const (
	served outcome = iota
	rejected
	failed
)

// serveRequest takes a flight from its request to its final answer. gone tells whether the
// client has left; it is asked before each further attempt.
func (in *Instance) serveRequest(fl *pendingRequest, q policy.Request, gone func() bool) {
	at, pending, done := in.handleRequestEvent(fl, func(now time.Duration, out policy.Actions) {
		in.lastRequestNumber++
		var b [20]byte
		fl.id = string(strconv.AppendUint(b[:0], in.lastRequestNumber, 36))
		q.ID = fl.id
		in.requests[fl.id] = fl
		if fl.cameByRelay { // nothing crosses twice
			q.Zone, q.IsCharged = in.relay.cfg.Own[0], true
		}
		if fl.hasKeyOwner {
			v := in.keys.Route(now, fl.key)
			if v.Hall != "" && fl.cameByRelay && !in.relay.ownsSite(v.Hall) {
				v = multisite.Verdict{Wait: minRetryAfter, Why: "the sites differ on its home"} // the other site goes by older homes, or this one does
			}
			if q.Zone = v.Hall; v.Hall == "" {
				fl.keyRejection = v.Why
				in.answer(fl, rejected, min(max(v.Wait, minRetryAfter), in.config.Settings.MaxRetryAfter))
				return
			}
		}
		in.engine.RequestReceived(now, q, out)
	})
	for !done {
		if pending {
			at, pending, done = in.runAttempt(fl, at, gone)
			continue
		}
		late := time.NewTimer(time.Until(fl.deadline))
		select {
		case <-fl.wake:
			at, pending, done = in.handleRequestEvent(fl, func(time.Duration, policy.Actions) {})
		case <-late.C:
			at, pending, done = in.clientDisconnected(fl)
		case <-in.ctx.Done():
			at, pending, done = in.clientDisconnected(fl)
		}
		late.Stop()
	}
	in.handleEvent(func(time.Duration, policy.Actions) { delete(in.requests, fl.id) })
}

// clientDisconnected ends a flight whose client has gone or for which no answer was given in time.
func (in *Instance) clientDisconnected(fl *pendingRequest) (attempt, bool, bool) {
	return in.handleRequestEvent(fl, func(now time.Duration, out policy.Actions) {
		in.answer(fl, failed, 0)
		in.engine.ClientDisconnected(now, fl.id, out)
	})
}

// runAttempt carries out one attempt and brings its outcome to the module.
func (in *Instance) runAttempt(fl *pendingRequest, at attempt, gone func() bool) (attempt, bool, bool) {
	var result policy.Result
	sent := in.now()
	fl.response.wasWritten, fl.response.connectedAt = false, time.Time{}
	let, full := true, false
	if fl.isRelayed = isRemoteServer(at.server); fl.isRelayed {
		if full = !in.relay.acquire(fl); !full {
			defer in.relay.release(fl)
		}
	}
	if fl.hasKeyOwner && !full { // the homes may have changed since the request was admitted
		in.handleEvent(func(now time.Duration, out policy.Actions) {
			hall, _, _ := strings.Cut(at.server, "/")
			if let = in.keys.Send(now, fl.key, hall); !let && fl.wasSent {
				in.answer(fl, failed, 0)
			} else if !let {
				fl.keyRejection = "its home has moved meanwhile"
				in.answer(fl, rejected, minRetryAfter)
			}
		})
	}
	if full {
		result = policy.RejectedByServer // no more may cross now
	} else if !let {
		result = policy.NotSent
	} else if fl.attempts > 1 && gone() {
		result = policy.NotSent
		in.handleEvent(func(now time.Duration, out policy.Actions) { in.answer(fl, failed, 0) })
	} else {
		result = in.servers.exchange(in.ctx, fl.current, at.server, at.deadline, fl.requestHead.Method == "HEAD", &fl.response,
			func(b []byte) []byte { return fl.appendRequest(b, at.deadline) })
		if fl.isRelayed && result == policy.ConnectionReset {
			result = in.resolveRelayed(fl, at)
		}
	}
	fl.mayRun = fl.mayRun || fl.response.wasWritten && result != policy.RejectedByServer
	if fl.response.wasWritten {
		fl.counters.Attempts.Add(1)
		if !fl.wasSent {
			fl.wasSent = true
			fl.counters.Sent.Add(1)
			fl.counters.Units.Add(int64(fl.units))
		}
	}
	report := fl.response.report()
	return in.handleRequestEvent(fl, func(now time.Duration, out policy.Actions) {
		fl.current = nil
		if !fl.isRelayed || result != policy.RejectedByServer && result != policy.ErrorResponse { // the far instance's word says nothing of its hall
			in.recordSiteHealth(now, at.server, result, sent)
		}
		if fl.hasKeyOwner && let && !full {
			in.keys.Ended(fl.key, !fl.response.wasWritten || result == policy.RejectedByServer || result == policy.ConnectFailed || result == policy.NotSent)
		}
		if result == policy.OK {
			in.answer(fl, served, 0)
		}
		o := policy.AttemptResult{ID: fl.id, Attempt: fl.attempts - 1, RequestAnswered: fl.isAnswered, Result: result, Server: at.server,
			Latency: now - sent, LoadReport: report}
		if !fl.response.connectedAt.IsZero() {
			o.ConnectedAt = time.Duration(in.startedAt.UnixNano()) + fl.response.connectedAt.Sub(in.startedAt)
		}
		in.engine.AttemptCompleted(now, o, out)
	})
}

// answer gives a flight its final answer unless it has one. Called under the mutex.
func (in *Instance) answer(fl *pendingRequest, k outcome, wait time.Duration) {
	if fl.isAnswered {
		return
	}
	fl.isAnswered, fl.answer, fl.retryAfter = true, k, wait
	if k := fl.current; k != nil { // no answer of the attempt under way counts any more
		in.deferred = append(in.deferred, k.abort)
	}
	in.wakeRequest(fl)
}

// wakeRequest has a flight's goroutine look at what is next. Called under the mutex.
func (in *Instance) wakeRequest(fl *pendingRequest) {
	if fl.isWaiting {
		fl.isWaiting = false
		fl.wake <- struct{}{} // there is room: it is told once for each wait
	}
}
