package multisite

import "time"

// clientLeaseTTL is for how long a message of the relaying instance shows that a client is connected, from when it was
// sent. The rest of the 0.1 s after which no attempt may begin is for the attempt's way to its server.
const clientLeaseTTL = 80 * time.Millisecond

// ClientLease is what an instance knows of the client of a request that another site's instance relayed to it. Only the
// relaying instance can tell whether that client is still connected. It reports a client that leaves, but its report
// may be lost or late. An attempt of the request may therefore begin only while the lease is valid; afterwards the
// instance asks, and an answer of the relaying instance renews the lease. The times at which messages were sent come
// from a [PeerClock], or are those of the questions that they answer: a lease never counts the time on the link.
//
// The zero value is the lease of a relaying instance that answers no questions: it is valid until it is revoked. It is
// not safe for concurrent use.
type ClientLease struct {
	isRenewable bool
	isRevoked   bool
	validUntil  time.Time
	askedAt     time.Time // of the last question; zero: none was asked
}

// NewClientLease returns the lease of a request of a relaying instance that answers questions. sentAt is when the
// request was sent; the zero time means that this is not known, so that the lease is not valid.
func NewClientLease(sentAt time.Time) ClientLease {
	l := ClientLease{isRenewable: true}
	l.Renew(sentAt)
	return l
}

// IsValid reports whether an attempt may begin now.
func (l *ClientLease) IsValid(now time.Time) bool {
	return !l.isRevoked && (!l.isRenewable || now.Before(l.validUntil))
}

// IsRevoked reports whether the client has left: the lease never becomes valid again.
func (l *ClientLease) IsRevoked() bool { return l.isRevoked }

// Question returns the question that the relaying instance has to answer now, which is known by the time at which it is
// asked. isNew is true if it is to be asked now, false if it was asked before and its answer may still renew the lease.
// hasQuestion is false if no answer can renew the lease.
func (l *ClientLease) Question(now time.Time) (askedAt time.Time, isNew, hasQuestion bool) {
	if !l.isRenewable || l.isRevoked {
		return time.Time{}, false, false
	}
	isNew = now.Sub(l.askedAt) >= clientLeaseTTL
	if isNew {
		l.askedAt = now
	}
	return l.askedAt, isNew, true
}

// QuestionExpiresAt returns when the next question is to be asked.
func (l *ClientLease) QuestionExpiresAt() time.Time { return l.askedAt.Add(clientLeaseTTL) }

// Renew records a report, sent at a time or later, that the client is connected.
func (l *ClientLease) Renew(sentAt time.Time) {
	if until := sentAt.Add(clientLeaseTTL); !sentAt.IsZero() && until.After(l.validUntil) {
		l.validUntil = until
	}
}

// Revoke records that the client has left.
func (l *ClientLease) Revoke() { l.isRevoked = true }
