package edgeproxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// slowAnswer describes an answer that a server writes slowly.
type slowAnswer struct {
	framing    string // "length", "chunked" or "close"
	size       int    // bytes of the body
	headAfter  time.Duration
	firstAfter time.Duration // from the head to the first byte of the body
	pieces     int           // in which the body is written
	pause      time.Duration // between two of them
}

// write writes the answer and returns false to close the connection.
func (a slowAnswer) write(c net.Conn) bool {
	time.Sleep(a.headAfter)
	head := map[string]string{
		"length":  "Content-Length: " + strconv.Itoa(a.size),
		"chunked": "Transfer-Encoding: chunked",
		"close":   "Connection: close",
	}[a.framing]
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n"); err != nil {
		return false
	}
	time.Sleep(a.firstAfter)
	body := pattern(a.size)
	for i := range a.pieces {
		if i > 0 {
			time.Sleep(a.pause)
		}
		piece := string(body[a.size*i/a.pieces : a.size*(i+1)/a.pieces])
		if piece == "" {
			continue // an empty chunk would be the last one
		}
		if a.framing == "chunked" {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(c, piece); err != nil {
			return false
		}
	}
	if a.framing == "chunked" {
		io.WriteString(c, "0\r\n\r\n")
	}
	return a.framing != "close"
}

// answerTimes are when the parts of an answer came, since its request was sent.
type answerTimes struct {
	status      int
	first, last time.Duration // the first byte and the end
	body        []byte
	err         error // of reading the body
}

// timeAnswer sends a request and reads its answer.
func timeAnswer(t *testing.T, addr, text string) answerTimes {
	t.Helper()
	c := dial(t, addr)
	sentAt := time.Now()
	c.send(text)
	if _, err := c.br.Peek(1); err != nil {
		t.Fatalf("no answer: %v after %v", err, time.Since(sentAt))
	}
	first := time.Since(sentAt)
	response, err := http.ReadResponse(c.br, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	return answerTimes{status: response.StatusCode, first: first, last: time.Since(sentAt), body: body, err: err}
}

// progressTimeout is the time that the clients of the progress tests wait for an answer.
const progressTimeout = 900 * time.Millisecond

// maxAnswerDelay is by how much a final answer may come after its request's time.
const maxAnswerDelay = 60 * time.Millisecond

// A server's answer that was still being written at the deadline was cut off, and its request answered with 429 though
// it had run; answers that paused for more than 250 ms were given up.
func TestSlowAnswersAreNotCutOff(t *testing.T) {
	for name, answer := range map[string]slowAnswer{
		"30 KB, written at the deadline":       {"length", 30000, 0, 0, 40, 30 * ms},
		"20 KB in chunks, at the deadline":     {"chunked", 20000, 0, 0, 40, 30 * ms},
		"30 KB to the close, at the deadline":  {"close", 30000, 0, 0, 40, 30 * ms},
		"lumps, chunked":                       {"chunked", 164022, 0, 0, 6, 270 * ms},
		"lumps, to the close":                  {"close", 167611, 0, 0, 6, 270 * ms},
		"lumps, with a length":                 {"length", 167611, 0, 0, 6, 270 * ms},
		"short lumps, chunked":                 {"chunked", 2000, 0, 0, 5, 270 * ms},
		"late body, to the close":              {"close", 240740, 0, 700 * ms, 4, 100 * ms},
		"late body, with a length":             {"length", 240740, 0, 700 * ms, 4, 100 * ms},
		"late body, short, with a length":      {"length", 3000, 0, 400 * ms, 1, 0},
		"late head, long, written steadily":    {"chunked", 180543, 700 * ms, 0, 60, 20 * ms},
		"first 64 KB written at the deadline":  {"chunked", 180543, 0, 0, 100, 25 * ms},
		"head in time, lumps over a long time": {"length", 300000, 300 * ms, 300 * ms, 8, 400 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			app := newAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
				if r.Header.Get(headerRequestID) == "" {
					return respondWith("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")(c, r, nil)
				}
				return answer.write(c)
			})
			n := runNode(t, testConfig(app.instance("a"), app.instance("b")))
			got := timeAnswer(t, n.addr, request("check", "t1", "X-Expires-In", fmt.Sprint(progressTimeout.Seconds())))
			if got.status != http.StatusOK || got.err != nil || !bytes.Equal(got.body, pattern(answer.size)) {
				t.Errorf("status %d, %d of %d bytes, error %v", got.status, len(got.body), answer.size, got.err)
			}
			if got.first > progressTimeout+maxAnswerDelay {
				t.Errorf("first byte after %v, want it within %v", got.first, progressTimeout)
			}
			if attempts := len(app.requests()); attempts != 1 {
				t.Errorf("%d attempts, want 1", attempts)
			}
		})
	}
}

// A server that stopped after the head of a long answer held back the final answer for 10 s.
func TestFinalAnswerWhenServerStopsAfterHead(t *testing.T) {
	for _, framing := range []string{"length", "chunked", "close"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			app := newAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
				slowAnswer{framing: framing, size: 280288, firstAfter: 5 * time.Second, pieces: 1}.write(c)
				return false
			})
			n := runNode(t, testConfig(app.instance("a")))
			got := timeAnswer(t, n.addr, request("check", "t1", "X-Expires-In", fmt.Sprint(progressTimeout.Seconds())))
			if got.status == http.StatusOK || got.last > progressTimeout+maxAnswerDelay {
				t.Errorf("status %d after %v, want a failure or rejection within %v", got.status, got.last, progressTimeout)
			}
		})
	}
}

// A short answer of a known length whose server writes on for seconds is given up in time for a visible failure: half a
// second after its time a request counts as lost.
func TestShortAnswerThatComesFarTooLate(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		return slowAnswer{framing: "length", size: 30000, pieces: 60, pause: 50 * ms}.write(c)
	})
	n := runNode(t, testConfig(app.instance("a")))
	got := timeAnswer(t, n.addr, request("check", "t1", "X-Expires-In", fmt.Sprint(progressTimeout.Seconds())))
	isLate := got.last > progressTimeout+500*ms || got.first > progressTimeout+maxAnswerDelay
	if isLate || got.status == 200 && got.err == nil {
		t.Errorf("status %d, first byte after %v, end after %v, error %v; want a failure that the client can see",
			got.status, got.first, got.last, got.err)
	}
}

// listenWithSmallBuffer listens with a small receive buffer, so that what a server does not read soon fills the
// buffers of the node.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
		})
		return errors.Join(controlErr, err)
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// The final answer to a long request that a server read slowly, or stopped reading, came seconds after its time.
func TestFinalAnswerWhenServerReadsSlowly(t *testing.T) {
	body := pattern(12 << 20)
	for name, read := range map[string]func(c net.Conn){
		"stops reading": func(c net.Conn) {
			io.ReadFull(c, make([]byte, 18975))
			time.Sleep(6 * time.Second)
		},
		"reads slowly": func(c net.Conn) {
			for piece := make([]byte, 8<<10); ; time.Sleep(20 * ms) {
				if _, err := c.Read(piece); err != nil {
					return
				}
			}
		},
	} {
		for _, isChunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %v", name, isChunked), func(t *testing.T) {
				t.Parallel()
				ln := listenWithSmallBuffer(t)
				go func() {
					for {
						c, err := ln.Accept()
						if err != nil {
							return
						}
						go func() {
							defer c.Close()
							read(c)
						}()
					}
				}()
				n := runNode(t, testConfig(instanceAt("a", addrOf(ln))))
				text := longBody("t1", body, isChunked)
				text = strings.Replace(text, "X-Expires-In: 20", fmt.Sprint("X-Expires-In: ", progressTimeout.Seconds()), 1)
				c := dial(t, n.addr)
				var lastWriteAt atomic.Int64 // Unix time in ns of the latest byte that the client could write
				go func() {
					for piece := []byte(text); len(piece) > 0; {
						n, err := c.Write(piece[:min(len(piece), 16<<10)])
						if err != nil {
							return
						}
						lastWriteAt.Store(time.Now().UnixNano())
						piece = piece[n:]
					}
				}()
				if _, err := c.br.Peek(1); err != nil {
					t.Fatalf("no answer: %v", err)
				}
				if got := time.Since(time.Unix(0, lastWriteAt.Load())); got > progressTimeout+maxAnswerDelay {
					t.Errorf("answered %v after the client could write for the last time, want %v", got, progressTimeout)
				}
				if response := c.read(); response.status == http.StatusOK {
					t.Errorf("status 200 though no server had answered")
				}
			})
		}
	}
}

// Answers of any length, framing and speed arrive unchanged, whether they are forwarded before they are complete or not,
// and no connection to a server is used again in the middle of one.
func TestRandomAnswers(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 64))
			answers := make(chan slowAnswer, 1)
			app := newAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
				if r.Header.Get(headerRequestID) == "" {
					return respondWith("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")(c, r, nil)
				}
				return (<-answers).write(c)
			})
			cfg := testConfig(app.instance("a"))
			cfg.MemoryMB = []int{1, 32}[seed%2] // with 1 MB most responses can't be buffered
			cfg.minIdleTime = 0
			n := runNode(t, cfg)
			for i := range 25 {
				answer := slowAnswer{
					framing:    []string{"length", "chunked", "close"}[random.IntN(3)],
					size:       random.IntN([]int{200, 5000, 70000, 400000}[random.IntN(4)]),
					headAfter:  time.Duration(random.IntN(20)) * ms,
					firstAfter: time.Duration(random.IntN(20)) * ms,
					pieces:     1 + random.IntN(20),
					pause:      time.Duration(random.IntN(8)) * ms,
				}
				answers <- answer
				timeout := fmt.Sprint(0.1 + random.Float64()/5)
				got := timeAnswer(t, n.addr, request("check", fmt.Sprint("t", i), "X-Expires-In", timeout))
				if got.status != http.StatusOK || got.err != nil || !bytes.Equal(got.body, pattern(answer.size)) {
					t.Errorf("%+v, timeout %s: status %d, %d bytes, error %v",
						answer, timeout, got.status, len(got.body), got.err)
				}
				select {
				case <-answers: // the request has not reached the server: the next one is not to wait behind it
				default:
				}
			}
		})
	}
}
