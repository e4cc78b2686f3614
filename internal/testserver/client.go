package testserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Licensee is one licensed provider and what it asks for.
type Licensee struct {
	Name, Plan string
	Rate       float64 // requests a second that it begins
}

// RequestTemplate is one request that a licensee may send. {n} in its texts stands for a number that
// is new with every request, {key} for a key that is.
type RequestTemplate struct {
	Operation    string
	Method       string
	Target       string
	Header, Body string // Header: lines without their ends, set apart by "|"
	Weight       float64
	Repeat       bool // the client repeats it after any failure, not after a refusal alone
}

// Attempt is one try of a client and how it ended.
type Attempt struct {
	Trace, Operation, Licensee string
	First                      string // trace of the first try
	Instance                   string // address of the instance asked
	Units                      int    // declared, as the asker counts; -1: not known
	At, Ended                  time.Time
	AnswerCount                int // final answers that came
	Status                     int // 0: none
	Served                     bool
	Mismatch                   string // what is wrong with the answer, if anything
	ConnectionLost             bool   // the connection ended with no answer
}

// Clients send a mix of requests for licensees through the instances.
type Clients struct {
	Instances   []string // addresses
	Licensees   []Licensee
	Mix         []RequestTemplate
	MaxAttempts int           // at most, for one request
	Deadline    time.Duration // over all tries
	Seed        uint64
	NoResend    bool // instances are killed: a connection that ends without an answer may have been one that was at work

	mu    sync.Mutex
	tries []Attempt
	idle  map[string][]*wireConn
}

// Run sends until ctx ends, then waits for the answers to what was sent.
func (c *Clients) Run(ctx context.Context) []Attempt {
	c.idle = map[string][]*wireConn{}
	var all sync.WaitGroup
	for i, l := range c.Licensees {
		all.Go(func() { c.licensee(ctx, l, rand.New(rand.NewPCG(c.Seed, uint64(i)))) })
	}
	all.Wait()
	for _, conns := range c.idle {
		for _, w := range conns {
			w.Close()
		}
	}
	return c.tries
}

// licensee begins requests at random moments, at its rate.
func (c *Clients) licensee(ctx context.Context, l Licensee, rng *rand.Rand) {
	var open sync.WaitGroup
	defer open.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		t := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		ask, seed := c.pick(rng), rng.Uint64()
		name := fmt.Sprintf("%s-%d", l.Name, n)
		open.Go(func() { c.request(l, ask, name, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func (c *Clients) pick(rng *rand.Rand) RequestTemplate {
	sum := 0.0
	for _, a := range c.Mix {
		sum += a.Weight
	}
	x := rng.Float64() * sum
	for _, a := range c.Mix {
		if x -= a.Weight; x < 0 {
			return a
		}
	}
	return c.Mix[len(c.Mix)-1]
}

// request tries a request until it is served, may not be repeated or its time is up.
func (c *Clients) request(l Licensee, ask RequestTemplate, name string, rng *rand.Rand) {
	until := time.Now().Add(c.Deadline)
	fill := strings.NewReplacer("{n}", strconv.Itoa(1+rng.IntN(1e6)), "{key}", "key-"+name)
	for try := 0; try < c.MaxAttempts; try++ {
		left := time.Until(until)
		if left < 50*time.Millisecond {
			return
		}
		t := Attempt{Trace: fmt.Sprintf("%s.%d", name, try), First: name + ".0", Operation: ask.Operation, Licensee: l.Name, Instance: c.Instances[rng.IntN(len(c.Instances))], At: time.Now()}
		var b strings.Builder
		body := fill.Replace(ask.Body)
		fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: booking.example.org\r\nX-Trace-Id: %s\r\nX-Licensee: %s\r\nX-Expires-In: %.3f\r\n",
			ask.Method, fill.Replace(ask.Target), t.Trace, l.Name, left.Seconds())
		if ask.Header != "" {
			for _, line := range strings.Split(fill.Replace(ask.Header), "|") {
				b.WriteString(line + "\r\n")
			}
		}
		if body != "" {
			fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
		}
		b.WriteString("\r\n" + body)
		retryAfter := c.send(&t, t.Instance, b.String(), until)
		t.Ended = time.Now()
		c.mu.Lock()
		c.tries = append(c.tries, t)
		c.mu.Unlock()
		refused := t.Status == http.StatusTooManyRequests || t.Status == http.StatusServiceUnavailable
		if t.Served || t.Status >= 400 && t.Status < 500 && !refused || !refused && !ask.Repeat {
			return
		}
		time.Sleep(min(max(retryAfter, 20*time.Millisecond), time.Until(until)))
	}
}

// wireConn is a connection that carries one request at a time.
type wireConn struct {
	net.Conn
	br    *bufio.Reader
	since time.Time // idle since then
}

// idleMost is for how long a client keeps an idle connection: less than an instance does.
const idleMost = 10 * time.Second

// send sends one try and reads its answer, which must be all that comes.
func (c *Clients) send(t *Attempt, addr, text string, until time.Time) (retryAfter time.Duration) {
	for {
		w, kept, err := c.conn(addr)
		if err != nil {
			t.ConnectionLost = true
			return 0
		}
		w.SetDeadline(until.Add(time.Second)) // an answer after its time is seen as such
		_, err = io.WriteString(w, text)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(w.br, &http.Request{Method: text[:strings.IndexByte(text, ' ')]})
		}
		if err != nil {
			w.Close()
			if kept && !c.NoResend && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
				continue // closed between requests: sent once more on a new one
			}
			if ne, ok := errors.AsType[net.Error](err); !ok || !ne.Timeout() {
				t.ConnectionLost = true
			}
			return 0
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			w.Close()
			t.ConnectionLost = true
			return 0
		}
		t.AnswerCount, t.Status = 1, resp.StatusCode
		t.Served = resp.StatusCode < 300
		if t.Served && resp.StatusCode != http.StatusNoContent && !strings.HasPrefix(text, "HEAD ") &&
			(!strings.Contains(string(body), `"`+t.Trace+`"`) || !strings.Contains(string(body), `"`+t.Operation+`"`)) {
			t.Mismatch = "served with another request's answer: " + string(body)
		}
		if w.br.Buffered() > 0 {
			t.AnswerCount++
		}
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			retryAfter = time.Duration(s * float64(time.Second))
		}
		if resp.Close || t.AnswerCount > 1 {
			w.Close()
			return retryAfter
		}
		w.since = time.Now()
		c.mu.Lock()
		c.idle[addr] = append(c.idle[addr], w)
		c.mu.Unlock()
		return retryAfter
	}
}

func (c *Clients) conn(addr string) (w *wireConn, kept bool, err error) {
	c.mu.Lock()
	for n := len(c.idle[addr]); n > 0 && w == nil; n-- {
		if w, c.idle[addr] = c.idle[addr][n-1], c.idle[addr][:n-1]; time.Since(w.since) > idleMost {
			w.Close()
			w = nil
		}
	}
	c.mu.Unlock()
	if w != nil {
		return w, true, nil
	}
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &wireConn{Conn: nc, br: bufio.NewReader(nc)}, false, nil
}
