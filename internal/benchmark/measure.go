package benchmark

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/httpwire"
)

// measure sends requests on all connections for opt.For after a warm-up and returns the figures. p is the process of
// the front; it is nil for direct calls.
func measure(opt Options, front string, procs int, addrs []string, p *process) (Result, error) {
	generator := &loadGenerator{opt: opt, stop: make(chan struct{})}
	stopAndWait := generator.start(addrs)
	time.Sleep(warmUp)
	before, err := p.queryUsage()
	if err != nil {
		return Result{}, err
	}
	generator.counting.Store(true)
	startedAt := time.Now()
	time.Sleep(opt.Duration)
	generator.counting.Store(false)
	took := time.Since(startedAt)
	after, err := p.queryUsage()
	if err != nil {
		return Result{}, err
	}
	latencies, err := stopAndWait()
	if err != nil {
		return Result{}, err
	}
	result := Result{Front: front, Procs: procs}
	result.Requests, result.OtherResponses = int(generator.served.Load()), int(generator.other.Load())
	result.RequestsPerSecond = float64(result.Requests) / took.Seconds()
	requests := float64(max(result.Requests, 1)) // the cost of rejected requests is charged to served ones
	result.CPUMicrosPerRequest = float64((after.cpu - before.cpu).Microseconds()) / requests
	result.AllocsPerRequest = float64(after.allocs-before.allocs) / requests
	result.P50Micros, result.P99Micros = quantiles(latencies)
	return result, nil
}

// start starts to send requests on all connections. The function that it returns stops the sending, and returns the
// latencies by connection, or the error of one of the connections.
func (g *loadGenerator) start(addrs []string) (stopAndWait func() ([][]float64, error)) {
	var connections sync.WaitGroup
	latencies := make([][]float64, g.opt.Conns)
	errs := make(chan error, g.opt.Conns)
	for i := range g.opt.Conns {
		connections.Go(func() {
			var err error
			if latencies[i], err = g.sendOn(addrs[i%len(addrs)], i); err != nil {
				errs <- err
			}
		})
	}
	return func() ([][]float64, error) {
		close(g.stop)
		connections.Wait()
		select {
		case err := <-errs:
			return nil, err
		default:
			return latencies, nil
		}
	}
}

// Formats of the requests. The arguments include the numbers of the connection, the request and the licensee.
const (
	bookingFormat = "POST /v1/visits HTTP/1.1\r\n" +
		"Host: booking.example.org\r\n" +
		"X-Trace-Id: t%d-%d\r\n" +
		"X-Licensee: licensee-%d\r\n" +
		"X-Expires-In: 2.000\r\n" +
		"Idempotency-Key: k%d-%d\r\n" +
		"Content-Type: application/json\r\n" +
		"Content-Length: %d\r\n\r\n%s"
	lookupFormat = "GET /v1/districts/Ilala/slots?days=1 HTTP/1.1\r\n" +
		"Host: booking.example.org\r\n" +
		"X-Trace-Id: t%d-%d\r\n" +
		"X-Licensee: licensee-%d\r\n" +
		"X-Expires-In: 2.000\r\n" +
		"Accept: application/json\r\n\r\n"
)

// loadGenerator sends requests on connections until stop is closed. It counts the responses that arrive while counting
// is set.
type loadGenerator struct {
	opt      Options
	stop     chan struct{}
	counting atomic.Bool
	served   atomic.Int64
	other    atomic.Int64 // responses with a status other than 200
}

// sendOn sends one request at a time on the i-th connection, bookings and look-ups alternately. It returns the
// latencies of the served ones in microseconds.
func (g *loadGenerator) sendOn(addr string, i int) (latencies []float64, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	reader := httpwire.NewReader(conn)
	var head httpwire.Head
	var request, body []byte
	next := time.Now()
	for n := 0; ; n++ {
		next = g.awaitTurn(next)
		select {
		case <-g.stop:
			return latencies, nil
		default:
		}
		request = appendRequest(request[:0], i, n)
		sentAt := time.Now()
		if _, err := conn.Write(request); err != nil {
			return latencies, err
		}
		if body, err = readAnswer(reader, &head, body); err != nil {
			return latencies, err
		}
		if !g.counting.Load() {
			continue
		}
		if head.Status != http.StatusOK {
			g.other.Add(1)
			continue
		}
		g.served.Add(1)
		latencies = append(latencies, float64(time.Since(sentAt).Microseconds()))
	}
}

// awaitTurn waits until a connection may send its next request if the rate is limited, and returns that request's
// scheduled time. A connection that is more than an interval late restarts its schedule rather than catch up.
func (g *loadGenerator) awaitTurn(last time.Time) time.Time {
	if g.opt.Rate <= 0 {
		return last
	}
	interval := time.Duration(float64(g.opt.Conns) / g.opt.Rate * float64(time.Second))
	next := last.Add(interval)
	if time.Since(next) > interval {
		next = time.Now()
	}
	time.Sleep(time.Until(next))
	return next
}

// bookingBody is the body of a booking request.
const bookingBody = `{"slot":"2026-12-24T10:00:00+03:00","installers":2,"district":"Ilala"}`

// appendRequest appends the n-th request of the i-th connection.
func appendRequest(b []byte, i, n int) []byte {
	licensee := i % licenseeCount
	if n%2 == 0 {
		return fmt.Appendf(b, bookingFormat, i, n, licensee, i, n, len(bookingBody), bookingBody)
	}
	return fmt.Appendf(b, lookupFormat, i, n, licensee)
}

// maxAnswerBody is the longest accepted body of a chunked response, in bytes.
const maxAnswerBody = 64 << 10

// readAnswer reads a response. It reads a body of known length into buffer, which it grows as needed and returns.
func readAnswer(reader *httpwire.Reader, head *httpwire.Head, buffer []byte) ([]byte, error) {
	if err := reader.ReadResponse(head); err != nil {
		return buffer, err
	}
	if head.Chunked {
		_, err := reader.ReadChunkedBody(maxAnswerBody)
		return buffer, err
	}
	if head.ContentLength <= 0 {
		return buffer, nil
	}
	buffer = append(buffer[:0], make([]byte, head.ContentLength)...)
	return buffer, reader.ReadBody(buffer)
}

// quantiles returns the median and the 99th percentile over all connections, or 0 if there are no latencies.
func quantiles(latencies [][]float64) (p50, p99 float64) {
	all := slices.Concat(latencies...)
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100]
}

// quantile returns the value below which a fraction q of xs lies. xs must not be empty.
func quantile(xs []float64, q float64) float64 {
	xs = slices.Sorted(slices.Values(xs))
	return xs[min(int(q*float64(len(xs))), len(xs)-1)]
}
