package configstream

import (
	"testing"
	"time"
)

// publisherTest is a publisher whose events a test triggers one by one.
type publisherTest struct {
	*Publisher
	t     *testing.T
	nonce uint64 // nonce of the last push
}

// expect fails the test unless describeStreamActions returns want for the actions.
func (p *publisherTest) expect(step, want string, actions []PublisherAction) {
	p.t.Helper()
	if got := describeStreamActions(actions); got != want {
		p.t.Fatalf("%s: got actions %q, want %q", step, got, want)
	}
	for _, a := range actions {
		if a.Push != nil {
			p.nonce = a.Push.Nonce
		}
	}
}

// hello returns the hello of a process of the follower named f.
func hello(processID, streamNumber uint64, running *Version) Hello {
	h := Hello{Name: "f", ProcessID: processID, StreamNumber: streamNumber}
	if running != nil {
		h.Running = &running.Ref
	}
	return h
}

// reply returns the reply to the last push.
func (p *publisherTest) reply(result PushResult, pushed, running *Version) Report {
	return Report{Nonce: p.nonce, Result: result, Ref: pushed.Ref, Running: &running.Ref}
}

func newPublisherTest(t *testing.T) *publisherTest {
	return &publisherTest{t: t, Publisher: NewPublisher(PublisherConfig{
		MemberID:            1,
		SilenceTimeout:      3 * time.Second,
		PushReplyTimeout:    5 * time.Second,
		ConfirmationTimeout: time.Second,
		MaxRetainedVersions: 4,
		MaxFollowers:        3,
		AdmissionRate:       1,
		AdmissionBurst:      2,
	}, 1<<40)}
}

// A sequence of events results in the expected actions of a publisher. Each part continues from the state at the end of
// the previous one.
func TestPublisherEventSequence(t *testing.T) {
	vs := numberedVersions(t, 9)
	p := newPublisherTest(t)
	p.expectPushes(vs)
	p.expectPongs(vs)
	p.expectNameConflict(vs)
	p.expectAdmission()
}

// expectPushes checks which versions are pushed to a follower until it rejects the newest, from 0 s until 2.3 s.
func (p *publisherTest) expectPushes(vs []*Version) {
	p.t.Helper()
	at := seconds
	p.expect("follower not configured", "1 close", p.OpenStream(at(0), 1, hello(7, 1, nil)))
	p.expect("first version", "", p.Publish(at(0), vs[0]))
	p.expect("follower with nothing persisted", "", p.OpenStream(at(1), 2, hello(7, 1, nil)))
	p.expect("confirmed as of before the stream", "", p.Confirm(at(1.1), at(0.9), vs[0].Ref))
	p.expect("confirmed", "2 push 1!", p.Confirm(at(1.2), at(1.1), vs[0].Ref))
	p.expect("one push at a time", "", p.Publish(at(1.3), vs[1]))
	p.expect("one push at a time", "", p.Publish(at(1.3), vs[2]))
	applied := p.reply(ResultApplied, vs[0], vs[0])
	p.expect("only the newest is pushed", "2 push 3 on 1", p.ReportReceived(at(1.4), 2, applied))
	otherReply := Report{Nonce: p.nonce - 1, Result: ResultApplied, Ref: vs[2].Ref, Running: &vs[0].Ref}
	p.expect("reply to another push", "", p.ReportReceived(at(1.4), 2, otherReply))
	p.expect("one push at a time", "", p.Publish(at(1.5), vs[3]))
	p.expect("full version requested", "2 push 4", p.ReportReceived(at(1.6), 2, p.reply(ResultNeedsFull, vs[2], vs[0])))
	p.expect("full version corrupt", "2 close", p.ReportReceived(at(1.7), 2, p.reply(ResultNeedsFull, vs[3], vs[0])))
	p.expect("connected again", "3 push 4 on 1", p.OpenStream(at(2), 3, hello(7, 2, vs[0])))
	p.expect("another stream of the process", "3 close, 4 push 4 on 1", p.OpenStream(at(2.1), 4, hello(7, 3, vs[0])))
	p.expect("version rejected", "", p.ReportReceived(at(2.2), 4, p.reply(ResultRejected, vs[3], vs[0])))
	p.expect("rejected version confirmed", "", p.Confirm(at(2.3), at(2.2), vs[3].Ref))
}

// expectPongs checks the replies to pings and which streams are closed, from 2.3 s until 13.1 s.
func (p *publisherTest) expectPongs(vs []*Version) {
	p.t.Helper()
	at := seconds
	p.expect("ping", "", p.PingReceived(at(2.3), 4, 1))
	p.expect("confirmed as of before the ping", "", p.Confirm(at(2.4), at(2.2), vs[3].Ref))
	p.expect("newer version", "4 push 5", p.Publish(at(2.45), vs[4]))
	p.expect("older version confirmed", "", p.Confirm(at(2.5), at(2.45), vs[3].Ref))
	p.expect("no confirmation", "4 pong 1 false", p.Tick(at(3.4)))
	p.expect("second ping", "", p.PingReceived(at(3.5), 4, 2))
	p.expect("confirmed", "4 pong 2 true", p.Confirm(at(3.6), at(3.55), vs[4].Ref))
	p.expect("newest version applied", "", p.ReportReceived(at(3.7), 4, p.reply(ResultApplied, vs[4], vs[4])))
	p.expect("newer version", "4 push 6 on 5", p.Publish(at(4), vs[5]))
	p.expect("third ping", "", p.PingReceived(at(6), 4, 3))
	p.expect("fourth ping", "", p.PingReceived(at(8.9), 4, 4))
	p.expect("pings received, but no reply to the push", "4 close", p.Tick(at(9.1)))
	p.expect("base no longer retained", "5 push 6", p.OpenStream(at(10), 5, hello(7, 4, vs[1])))
	p.expect("silent", "5 close", p.Tick(at(13.1)))
}

// expectNameConflict checks that neither of two processes with the same name is sent a version, from 14 s until 18 s.
func (p *publisherTest) expectNameConflict(vs []*Version) {
	p.t.Helper()
	at := seconds
	p.expect("follower with the newest version", "", p.OpenStream(at(14), 6, hello(7, 5, vs[5])))
	p.expect("another process with the name", "", p.OpenStream(at(14.1), 7, hello(8, 1, vs[5])))
	p.expect("no message from either process since then", "", p.Tick(at(14.2)))
	p.expect("ping of one process", "", p.PingReceived(at(14.3), 6, 9))
	p.expect("ping of the other process", "", p.PingReceived(at(14.3), 7, 9))
	p.expect("name conflict", "6 pong 9 false, 7 pong 9 false", p.Tick(at(14.4)))
	p.expect("neither process gets a version", "", p.Publish(at(14.5), vs[6]))
	p.StreamClosed(at(14.6), 6)
	p.expect("silent", "7 close", p.Tick(at(18)))
}

// Connections are admitted in a burst of two, and at one per second.
func TestPublisherAdmission(t *testing.T) { newPublisherTest(t).expectAdmission() }

// expectAdmission fails the test unless connections from 20 s on are admitted as configured.
func (p *publisherTest) expectAdmission() {
	p.t.Helper()
	for _, c := range []struct {
		name string
		at   float64
		want bool
	}{
		{"first of a burst", 20, true},
		{"second of a burst", 20, true},
		{"third of a burst", 20, false},
		{"half a second later", 20.5, false},
		{"a second later", 21, true},
		{"again a second later", 21, false},
	} {
		if got := p.Admit(seconds(c.at)); got != c.want {
			p.t.Errorf("%s: got admitted %v, want %v", c.name, got, c.want)
		}
	}
}
