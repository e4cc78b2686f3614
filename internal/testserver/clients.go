package testserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// minAttemptTime is the time left below which no further attempt is made.
	minAttemptTime = 50 * time.Millisecond
	// minRetryDelay is the least time between two attempts.
	minRetryDelay = 20 * time.Millisecond
)

// Licensee is one licensed provider and the rate of its requests.
type Licensee struct {
	Name, Plan string
	Rate       float64 // requests a second that it begins
}

// RequestTemplate is one request that a licensee may send. In its texts, {n} is replaced by a
// number drawn for each request, and {key} by an idempotency key of the request.
type RequestTemplate struct {
	Operation         string
	Method            string
	Target            string
	Header, Body      string  // Header: field lines without line ends, separated by "|"
	Weight            float64 // share in the mix, relative to the other templates
	RetriesAnyFailure bool    // the client retries it after any failure; otherwise only after a rejection
}

// Attempt is one attempt of a client at a request, and how it ended.
type Attempt struct {
	Trace, Operation, Licensee string
	FirstTrace                 string // trace of the first attempt
	Instance                   string // address of the instance that it was sent to
	Units                      int    // declared, as the client counts; -1: not known
	At, Ended                  time.Time
	AnswerCount                int // final answers received
	Status                     int // 0: none
	Served                     bool
	Mismatch                   string    // what is wrong with the answer, if anything
	ConnectionLost             bool      // the connection ended without a complete answer
	LeftAt                     time.Time // when the client had closed the connection without waiting; zero: it has not
}

// Clients send a mix of requests of licensees to the instances.
type Clients struct {
	Instances   []string // addresses
	Licensees   []Licensee
	Mix         []RequestTemplate
	MaxAttempts int           // for one request
	Deadline    time.Duration // for all attempts at a request
	Seed        uint64

	// NoResend disables the transparent resend of a request whose reused connection ended without
	// an answer: if its instance was killed, the request may already have run.
	NoResend bool

	// LeaveFraction is the fraction of attempts whose clients close or reset their connections while they wait, at a
	// random time within MaxWaitToLeave. With an idempotency key they come again at once.
	LeaveFraction  float64
	MaxWaitToLeave time.Duration

	mu       sync.Mutex
	attempts []Attempt
	idle     map[string][]*clientConn // by address
}

// Run sends requests until ctx ends, then waits for the answers to those in flight. It returns
// all attempts, in the order in which they ended.
func (clients *Clients) Run(ctx context.Context) []Attempt {
	clients.idle = map[string][]*clientConn{}
	var running sync.WaitGroup
	for index, licensee := range clients.Licensees {
		running.Go(func() { clients.runLicensee(ctx, licensee, rand.New(rand.NewPCG(clients.Seed, uint64(index)))) })
	}
	running.Wait()
	for _, conns := range clients.idle {
		for _, conn := range conns {
			conn.Close()
		}
	}
	return clients.attempts
}

// runLicensee begins requests at random moments, at the licensee's rate (a Poisson process).
func (clients *Clients) runLicensee(ctx context.Context, licensee Licensee, rng *rand.Rand) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / licensee.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		template := clients.pickTemplate(rng)
		seed := rng.Uint64()
		name := fmt.Sprintf("%s-%d", licensee.Name, n)
		inFlight.Go(func() { clients.request(licensee, template, name, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// pickTemplate draws a template of the mix by weight.
func (clients *Clients) pickTemplate(rng *rand.Rand) RequestTemplate {
	sum := 0.0
	for _, template := range clients.Mix {
		sum += template.Weight
	}
	draw := rng.Float64() * sum
	for _, template := range clients.Mix {
		if draw -= template.Weight; draw < 0 {
			return template
		}
	}
	return clients.Mix[len(clients.Mix)-1]
}

// request makes attempts at a request until one is served, a retry is not allowed, MaxAttempts is reached or the
// deadline is near.
func (clients *Clients) request(licensee Licensee, template RequestTemplate, name string, rng *rand.Rand) {
	deadline := time.Now().Add(clients.Deadline)
	placeholders := strings.NewReplacer("{n}", strconv.Itoa(1+rng.IntN(1e6)), "{key}", "key-"+name)
	for n := 0; n < clients.MaxAttempts; n++ {
		remaining := time.Until(deadline)
		if remaining < minAttemptTime {
			return
		}
		attempt := Attempt{
			Trace:      fmt.Sprintf("%s.%d", name, n),
			FirstTrace: name + ".0",
			Operation:  template.Operation,
			Licensee:   licensee.Name,
			Instance:   clients.Instances[rng.IntN(len(clients.Instances))],
			At:         time.Now(),
		}
		text := template.text(placeholders, &attempt, remaining)
		retryAfter := clients.send(&attempt, text, deadline, clients.drawLeave(rng))
		attempt.Ended = time.Now()
		clients.record(attempt)
		if !attempt.mayRetry(template) {
			return
		}
		if !attempt.LeftAt.IsZero() {
			continue
		}
		time.Sleep(min(max(retryAfter, minRetryDelay), time.Until(deadline)))
	}
}

// leave is how a client leaves while it waits for an answer.
type leave struct {
	after   time.Duration // 0: it stays
	byReset bool
}

// drawLeave draws whether, when and how the client of an attempt leaves.
func (clients *Clients) drawLeave(rng *rand.Rand) leave {
	if clients.LeaveFraction == 0 || rng.Float64() >= clients.LeaveFraction {
		return leave{}
	}
	return leave{after: time.Duration(1 + rng.Int64N(int64(clients.MaxWaitToLeave))), byReset: rng.IntN(2) == 0}
}

// record keeps an attempt that has ended.
func (clients *Clients) record(attempt Attempt) {
	clients.mu.Lock()
	clients.attempts = append(clients.attempts, attempt)
	clients.mu.Unlock()
}

// text returns an attempt's request as it is sent. Its X-Expires-In header is the remaining time.
func (template RequestTemplate) text(placeholders *strings.Replacer, attempt *Attempt, remaining time.Duration) string {
	var builder strings.Builder
	body := placeholders.Replace(template.Body)
	fmt.Fprintf(&builder, "%s %s HTTP/1.1\r\n", template.Method, placeholders.Replace(template.Target))
	builder.WriteString("Host: booking.example.org\r\n")
	fmt.Fprintf(&builder, "X-Trace-Id: %s\r\nX-Licensee: %s\r\n", attempt.Trace, attempt.Licensee)
	fmt.Fprintf(&builder, "X-Expires-In: %.3f\r\n", remaining.Seconds())
	if template.Header != "" {
		for _, line := range strings.Split(placeholders.Replace(template.Header), "|") {
			builder.WriteString(line + "\r\n")
		}
	}
	if body != "" {
		fmt.Fprintf(&builder, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	builder.WriteString("\r\n" + body)
	return builder.String()
}

// mayRetry reports whether a client may make another attempt after this one: always after a rejection (429 or 503),
// never after another 4xx status, and after any other failure only if the template sets Repeat.
func (attempt *Attempt) mayRetry(template RequestTemplate) bool {
	switch {
	case attempt.Served:
		return false
	case attempt.Status == http.StatusTooManyRequests || attempt.Status == http.StatusServiceUnavailable:
		return true
	case attempt.Status >= 400 && attempt.Status < 500:
		return false
	default:
		return template.RetriesAnyFailure
	}
}
