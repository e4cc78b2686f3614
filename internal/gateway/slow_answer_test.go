package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// timedPiece is a part of an answer, and the time after which a server writes it.
type timedPiece struct {
	after time.Duration
	text  string
}

// slowAnswer is an answer that a server writes in pieces. A server that has written the last piece waits for the next
// request on the connection.
type slowAnswer []timedPiece

// write writes the answer and reports whether it could be written.
func (a slowAnswer) write(c net.Conn) bool {
	for _, piece := range a {
		time.Sleep(piece.after)
		if _, err := io.WriteString(c, piece.text); err != nil {
			return false
		}
	}
	return true
}

// slowBody is the body of the slow answers.
var slowBody = strings.Repeat("h", 24<<10)

// inPieces returns an answer with a length whose body is written in pieces.
func inPieces(count int, pause time.Duration) slowAnswer {
	a := slowAnswer{{0, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(slowBody))}}
	size := len(slowBody) / count
	for i := range count {
		a = append(a, timedPiece{pause, slowBody[i*size : (i+1)*size]})
	}
	return a
}

// inChunks returns an answer in chunks, each written at once.
func inChunks(count int, pause time.Duration) slowAnswer {
	a := slowAnswer{{0, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}}
	size := len(slowBody) / count
	for i := range count {
		a = append(a, timedPiece{pause, fmt.Sprintf("%x\r\n%s\r\n", size, slowBody[i*size:(i+1)*size])})
	}
	return append(a, timedPiece{pause, "0\r\n\r\n"})
}

// startSlowServer starts a server that answers all requests alike, but health checks and warm-up requests at once. The returned channel receives whether each answer could be written.
func (h *testSites) startSlowServer(site, id string, answer slowAnswer) (written <-chan bool) {
	h.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	results := make(chan bool, 100)
	var conns []net.Conn
	h.goroutines.Go(func() {
		defer func() {
			for _, c := range conns {
				c.Close()
			}
		}()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns = append(conns, c)
			h.goroutines.Go(func() {
				testserver.ServeRequests(c, func(r *http.Request, _ []byte) bool {
					isWarmUp := r.URL.Path == "/visits/new" || strings.HasPrefix(r.Header.Get("Idempotency-Key"), "warm")
					if r.URL.Path == healthCheckPath || isWarmUp {
						_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nTEXT queue=0, util=0.10")
						return err == nil
					}
					isWritten := answer.write(c)
					results <- isWritten
					return isWritten
				})
			})
		}
	})
	h.t.Cleanup(func() { ln.Close() })
	h.listServer(site, id, ln.Addr().String(), "up")
	return results
}

// slowAnswers are answers that end in time, for clients that wait for slowTimeout.
func slowAnswers() map[string]slowAnswer {
	interim := timedPiece{50 * time.Millisecond, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"}
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 24576\r\n\r\n"
	return map[string]slowAnswer{
		"with a length, in small pieces":  inPieces(24, 25*time.Millisecond),
		"with a length, two lumps":        inPieces(2, 600*time.Millisecond),
		"in chunks, in small pieces":      inChunks(24, 25*time.Millisecond),
		"in chunks, two lumps":            inChunks(2, 450*time.Millisecond),
		"a head in two lumps":             {{0, text[:20]}, {800 * time.Millisecond, text[20:] + slowBody}},
		"a body that comes late":          {{0, text}, {900 * time.Millisecond, slowBody}},
		"an interim response, two lumps":  append(slowAnswer{interim}, inPieces(2, 550*time.Millisecond)...),
		formBegunLate:                     {interim, {900 * time.Millisecond, text + slowBody}},
		"half an interim response, a gap": {{0, interim.text[:9]}, {900 * time.Millisecond, interim.text[9:] + text + slowBody}},
	}
}

// Names of subtests.
const (
	wayWithEarlyTimeouts = "relayed, with early timeouts"
	formBegunLate        = "an interim response, then a gap"
)

const (
	slowTimeout    = 1500 * time.Millisecond
	maxAnswerDelay = 60 * time.Millisecond // by which a final answer may come after its request's time
)

// slowRequests are requests of each kind of idempotency, whose clients wait for slowTimeout.
func slowRequests() map[string]string {
	timeout := fmt.Sprintf("X-Expires-In: %.3f", slowTimeout.Seconds())
	return map[string]string{
		"safe":   getRequest("GET /visits/1", timeout),
		"unsafe": getRequest("DELETE /visits/1", timeout),
		"keyed":  postRequest("POST /visits", `{"installers": 1}`, timeout, "Idempotency-Key: k"),
	}
}

// slowWays are the ways from an instance to a server that answers slowly. Each starts the instances.
var slowWays = map[string]func(*testing.T, *testSites, slowAnswer) (*testInstance, <-chan bool){
	"direct": func(t *testing.T, h *testSites, answer slowAnswer) (*testInstance, <-chan bool) {
		written := h.startSlowServer("site-a", "slow", answer)
		return startInstance(t, h, 1, nil), written
	},
	"relayed": func(t *testing.T, h *testSites, answer slowAnswer) (*testInstance, <-chan bool) {
		near, far, _ := startTwoSites(t, h, nil)
		return near, h.replaceFarServer(far, answer)
	},
	wayWithEarlyTimeouts: func(t *testing.T, h *testSites, answer slowAnswer) (*testInstance, <-chan bool) {
		near, far, _ := startTwoSites(t, h, nil)
		for _, instance := range []*testInstance{near, far} {
			instance.install(t, 2, earlyRetryDescription)
		}
		written := h.replaceFarServer(far, answer)
		c := dial(t, near.addr)
		for i := range 40 { // the instances learn that answers begin soon
			c.roundTrip(getRequest("GET /visits/new"))
			c.roundTrip(postRequest("POST /visits", "{}", fmt.Sprint("Idempotency-Key: warm", i)))
		}
		return near, written
	},
}

// replaceFarServer replaces the server of the far site by a slow one.
func (h *testSites) replaceFarServer(far *testInstance, answer slowAnswer) (written <-chan bool) {
	h.t.Helper()
	written = h.startSlowServer("site-b", "slow", answer)
	if err := far.AwaitServers(h.t.Context(), 2, testTimeout); err != nil {
		h.t.Fatal(err)
	}
	h.listServer("site-b", "s1", "127.0.0.1:1", "removed")
	h.awaitServerCount(far, "site-b", 1)
	return written
}

// wantOneAnswer checks that a server's answer was written completely, and that there was no other.
func (h *testSites) wantOneAnswer(written <-chan bool) {
	h.t.Helper()
	select {
	case isWritten := <-written:
		if !isWritten || len(written) > 0 {
			h.t.Error("the server's answer was cut off, or there were several")
		}
	case <-time.After(testTimeout):
		h.t.Error("the server's answer was not written within testTimeout")
	}
}

// Guards against an instance that gives up an answer which a server still writes, though its client waits: answers that
// took more than 0.25 s were cut off, and their requests answered with 502.
func TestSlowAnswersAreNotCutOff(t *testing.T) {
	for way, start := range slowWays {
		for form, answer := range slowAnswers() {
			if way == wayWithEarlyTimeouts && form == formBegunLate {
				continue // not begun by the policy's timeout
			}
			for kind, request := range slowRequests() {
				t.Run(way+"/"+form+"/"+kind, func(t *testing.T) {
					t.Parallel()
					h := newTestSites(t)
					g, written := start(t, h, answer)
					c := dial(t, g.addr)
					c.send(request)
					if r := c.readResponse(); r.Status != 200 || r.Body != slowBody {
						t.Errorf("got status %d with %d bytes, want 200 with %d", r.Status, len(r.Body), len(slowBody))
					}
					h.wantOneAnswer(written)
				})
			}
		}
	}
}

// Guards against a wait for the rest of an answer that is longer than its client's. The client of a safe request is told
// that it may repeat it.
func TestFinalAnswerWhenServerStopsInAnswer(t *testing.T) {
	for way, start := range slowWays {
		for form, answer := range map[string]slowAnswer{
			"in a head":     {{0, "HTTP/1.1 200 OK\r\nContent-"}},
			"behind a head": {{0, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"}},
			"in a body":     {{0, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"}},
			"in chunks":     {{0, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}},
			"too late":      inPieces(24, 80*time.Millisecond),
		} {
			for kind, request := range slowRequests() {
				t.Run(way+"/"+form+"/"+kind, func(t *testing.T) {
					t.Parallel()
					h := newTestSites(t)
					g, _ := start(t, h, answer)
					c := dial(t, g.addr)
					sentAt := time.Now()
					c.send(request)
					r := c.readResponse()
					want := 502
					if kind == "safe" {
						want = 429
					}
					if took := time.Since(sentAt); r.Status != want || took > slowTimeout+maxAnswerDelay {
						t.Errorf("got status %d after %v, want %d within %v", r.Status, took, want, slowTimeout)
					}
				})
			}
		}
	}
}

// Guards against a safe request that waits until its time is over for an answer that was begun by an instance which has
// died since: it can be served elsewhere.
func TestSafeRequestOutlivesInstanceThatDiesInAnswer(t *testing.T) {
	h := newTestSites(t)
	near, far, link := startTwoSites(t, h, nil)
	for _, instance := range []*testInstance{near, far} {
		instance.install(t, 2, earlyRetryDescription)
	}
	h.replaceFarServer(far, slowAnswer{{0, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"}})
	c := dial(t, near.addr)
	for range 40 { // the near instance learns that answers begin soon
		c.roundTrip(getRequest("GET /visits/new"))
	}
	c.send(slowRequests()["safe"])
	time.Sleep(300 * time.Millisecond) // the near instance knows that the answer has begun
	link.ln.Close()
	diedAt := time.Now()
	link.breakAll()
	h.startServer("site-a", "s0")
	retry := h.nextRequest()
	if waited := time.Since(diedAt); retry.server != "site-a/s0" || waited < statusTimeout || waited > 2*statusTimeout {
		t.Errorf("the next attempt began at %s after %v, want site-a/s0 soon after statusTimeout", retry.server, waited)
	}
	retry.response <- responseText(200, "", "x")
	if got := c.readResponse(); got.Status != 200 {
		t.Errorf("retried request: got %+v, want status 200", got)
	}
}
