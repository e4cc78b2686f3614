package gateway

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/multisite"
)

// leaseField carries the messages about the client of a relayed request, see [multisite.ClientLease]. Times are in
// microseconds, each by its sender's own clock.
//
//   - In a relayed request it is "renewable", then when the request was sent: the relaying instance answers questions.
//   - In an interim response, and in the response to a status query, it is a question: when it was asked.
//   - In a status query it is the question that is answered, then when the query was sent: the client is connected.
//     Or it is "revoked": the client has left. The response then acknowledges that with the same text.
//
// An instance of an older version ignores the field.
const (
	leaseField     = "X-Mulleinmux-Lease"
	leaseRenewable = "renewable"
	leaseRevoked   = "revoked"
)

// clockReading is a reading of a process's clock, in microseconds since a time of that process's choice; 0: none.
type clockReading uint64

// messageClock is the clock whose readings an instance sends to other sites' instances. It is monotonic. It begins at a
// random reading, so that a reading of an earlier process is not taken for one of this process.
type messageClock struct{ zero time.Time }

// maxInitialReading is the highest reading with which a messageClock may begin: about 36 years.
const maxInitialReading = 1 << 50

func newMessageClock() messageClock {
	return messageClock{zero: time.Now().Add(-time.Duration(rand.Int64N(maxInitialReading)) * time.Microsecond)}
}

// reading returns the clock's reading at a time.
func (c messageClock) reading(at time.Time) clockReading {
	return clockReading(max(at.Sub(c.zero)/time.Microsecond, 0))
}

// time returns when the clock had a reading.
func (c messageClock) time(reading clockReading) time.Time { return c.zero.Add(reading.duration()) }

// duration returns the time since a clock's zero.
func (r clockReading) duration() time.Duration {
	return time.Duration(min(r, maxInitialReading*2)) * time.Microsecond
}

// parseClockReading returns the reading in a text, or 0 if it is none.
func parseClockReading(text string) clockReading {
	reading, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return clockReading(reading)
}

// leaseReport is what a status query reports about the client of its request.
type leaseReport struct {
	isRevoked bool         // the client has left; the other fields are not set
	question  clockReading // of the remote instance, that is answered; 0: none
	sentAt    clockReading
}

// appendTo appends the report as a header field, unless it is empty.
func (l leaseReport) appendTo(b []byte) []byte {
	switch {
	case l.isRevoked:
		return httpwire.AppendField(b, leaseField, leaseRevoked)
	case l.question == 0:
		return b
	}
	b = append(b, leaseField+": "...)
	b = strconv.AppendUint(b, uint64(l.question), 10)
	b = append(b, ' ')
	b = strconv.AppendUint(b, uint64(l.sentAt), 10)
	return append(b, "\r\n"...)
}

// parseLeaseReport returns the report in the head of a status query. Anything unknown is an empty report.
func parseLeaseReport(head *httpwire.Head) leaseReport {
	text := head.Get(leaseField)
	if text == leaseRevoked {
		return leaseReport{isRevoked: true}
	}
	question, sentAt, _ := strings.Cut(text, " ")
	return leaseReport{question: parseClockReading(question), sentAt: parseClockReading(sentAt)}
}

// leaseReply is what an instance reports back: a question, or that a lease is revoked.
type leaseReply struct {
	isRevoked bool
	question  clockReading // 0: none
}

// appendTo appends the reply as a header field, unless it is empty.
func (l leaseReply) appendTo(b []byte) []byte {
	switch {
	case l.isRevoked:
		return httpwire.AppendField(b, leaseField, leaseRevoked)
	case l.question != 0:
		return httpwire.AppendField(b, leaseField, strconv.FormatUint(uint64(l.question), 10))
	}
	return b
}

// parseLeaseReply returns the reply in the head of a response. Anything unknown is an empty reply.
func parseLeaseReply(head *httpwire.Head) leaseReply {
	text := head.Get(leaseField)
	if text == "" {
		return leaseReply{}
	}
	return leaseReply{isRevoked: text == leaseRevoked, question: parseClockReading(text)}
}

// appendRenewable appends the field of a relayed request that is sent now.
func (c messageClock) appendRenewable(b []byte) []byte {
	b = append(b, leaseField+": "+leaseRenewable+" "...)
	b = strconv.AppendUint(b, uint64(c.reading(time.Now())), 10)
	return append(b, "\r\n"...)
}

// parseRenewable returns when a relayed request was sent, and whether the instance that relayed it answers questions.
func parseRenewable(head *httpwire.Head) (sentAt clockReading, isRenewable bool) {
	text, isRenewable := strings.CutPrefix(head.Get(leaseField), leaseRenewable+" ")
	return parseClockReading(text), isRenewable
}

// relayedLease is the lease of the request in progress on a connection of another site's instance.
type relayedLease struct {
	changed chan struct{} // receives a value when the lease was renewed or revoked

	mu        sync.Mutex // guards the fields below, and is held while onRevoked is called
	id        multisite.ForwardedRequestID
	lease     multisite.ClientLease
	onRevoked func() // nil: nobody watches
}

func newRelayedLease() *relayedLease { return &relayedLease{changed: make(chan struct{}, 1)} }

// begin prepares the lease for the next request of the connection. It returns the question that is to be asked at once,
// if the lease is not valid or a sample of the sender's clock is due.
func (l *relayedLease) begin(
	now time.Time, id multisite.ForwardedRequestID, lease multisite.ClientLease, isSampleDue bool,
) (askedAt time.Time, isDue bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.lease, l.onRevoked = id, lease, nil
	if l.lease.IsValid(now) && !isSampleDue {
		return time.Time{}, false
	}
	askedAt, isNew, hasQuestion := l.lease.Question(now)
	return askedAt, isNew && hasQuestion
}

// watch has onRevoked called if the lease is revoked before unwatch is called, or has been revoked already. The function
// may be called more than once.
func (l *relayedLease) watch(onRevoked func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.IsRevoked() {
		onRevoked()
	}
	l.onRevoked = onRevoked
}

// unwatch ends the watch. onRevoked is not called any more after unwatch has returned.
func (l *relayedLease) unwatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onRevoked = nil
}

// revoke records that the client of a request has left, unless another request is in progress by now.
func (l *relayedLease) revoke(id multisite.ForwardedRequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return
	}
	l.lease.Revoke()
	if l.onRevoked != nil {
		l.onRevoked()
	}
	l.notify()
}

// renew records that the client of a request was connected at a time, unless another request is in progress by now. It
// returns the question that is still to be answered, if any.
func (l *relayedLease) renew(id multisite.ForwardedRequestID, sentAt time.Time) (askedAt time.Time, hasQuestion bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return time.Time{}, false
	}
	l.lease.Renew(sentAt)
	l.notify()
	askedAt, _, hasQuestion = l.lease.Question(time.Now())
	return askedAt, hasQuestion
}

// notify wakes await. The caller must hold mu.
func (l *relayedLease) notify() {
	select {
	case l.changed <- struct{}{}:
	default: // it will wake already
	}
}

// leaseCheck is what await has to do next.
type leaseCheck struct {
	isValid     bool
	hasQuestion bool // an answer may renew the lease
	isNew       bool // the question is to be asked now
	askedAt     time.Time
	nextAt      time.Time // when to check again at the latest
}

// check decides whether an attempt may begin now, and what to do if not.
func (l *relayedLease) check(now time.Time) (c leaseCheck) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.isValid = l.lease.IsValid(now); !c.isValid {
		c.askedAt, c.isNew, c.hasQuestion = l.lease.Question(now)
		c.nextAt = l.lease.QuestionExpiresAt()
	}
	return c
}

// await waits until an attempt may begin, and reports whether it may. It calls ask with each new question. It returns
// false if the lease is revoked, at the deadline, or when the attempt is aborted.
func (l *relayedLease) await(control *attemptControl, deadline time.Time, ask func(askedAt time.Time)) bool {
	for {
		now := time.Now()
		check := l.check(now)
		switch {
		case check.isValid:
			return true
		case !check.hasQuestion || !now.Before(deadline):
			return false
		case check.isNew:
			ask(check.askedAt)
		}
		pause := time.NewTimer(min(check.nextAt.Sub(now), deadline.Sub(now)))
		select {
		case <-l.changed:
		case <-pause.C:
		case <-control.awaitAbort():
			pause.Stop()
			return false
		}
		pause.Stop()
	}
}
