package benchmark

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/httpwire"
)

// measure sends requests on all connections for the time of a measurement.
func measure(opt Options, front string, procs int, addrs []string, p *process) (Result, error) {
	res := Result{Front: front, Procs: procs}
	var counting atomic.Bool
	var other, count atomic.Int64
	stop := make(chan struct{})
	var all sync.WaitGroup
	lats := make([][]float64, opt.Conns)
	errs := make(chan error, opt.Conns)
	for i := range opt.Conns {
		all.Go(func() {
			if err := drive(addrs[i%len(addrs)], i, stop, &counting, opt, &count, &other, &lats[i]); err != nil {
				errs <- err
			}
		})
	}
	time.Sleep(warmUp)
	var cpu0, cpu1 time.Duration
	var allocs0, allocs1 uint64
	var err error
	if p != nil {
		if cpu0, allocs0, err = p.used(); err != nil {
			return res, err
		}
	}
	counting.Store(true)
	began := time.Now()
	time.Sleep(opt.For)
	counting.Store(false)
	took := time.Since(began)
	if p != nil {
		if cpu1, allocs1, err = p.used(); err != nil {
			return res, err
		}
	}
	close(stop)
	all.Wait()
	select {
	case err := <-errs:
		return res, err
	default:
	}
	res.Requests, res.Other = int(count.Load()), int(other.Load())
	res.PerS = float64(res.Requests) / took.Seconds()
	n := float64(max(res.Requests, 1)) // what was refused is charged to what was served
	res.CPU, res.Allocs = float64((cpu1-cpu0).Microseconds())/n, float64(allocs1-allocs0)/n
	res.P50, res.P99 = quantiles(lats)
	return res, nil
}

// The requests of a connection, with the numbers of the connection, the request and the licensee.
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

// drive is one connection with one request at a time: a booking, then a look-up.
func drive(
	addr string, i int, stop chan struct{}, counting *atomic.Bool, opt Options, count, other *atomic.Int64, lat *[]float64,
) error {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	rd := httpwire.NewReader(nc)
	var h httpwire.Head
	var out, body []byte
	book := `{"slot":"2026-12-24T10:00:00+03:00","installers":2,"district":"Ilala"}`
	next := time.Now()
	for n := 0; ; n++ {
		if opt.Rate > 0 { // one request in its turn, with no catching up after a pause
			gap := time.Duration(float64(opt.Conns) / opt.Rate * float64(time.Second))
			if next = next.Add(gap); time.Since(next) > gap {
				next = time.Now()
			}
			time.Sleep(time.Until(next))
		}
		select {
		case <-stop:
			return nil
		default:
		}
		if n%2 == 0 {
			out = fmt.Appendf(out[:0], bookingFormat, i, n, i%100, i, n, len(book), book)
		} else {
			out = fmt.Appendf(out[:0], lookupFormat, i, n, i%100)
		}
		at := time.Now()
		if _, err := nc.Write(out); err != nil {
			return err
		}
		if err := rd.Answer(&h); err != nil {
			return err
		}
		if h.Chunked {
			if _, err := rd.Chunked(64 << 10); err != nil {
				return err
			}
		} else if h.Length > 0 {
			body = append(body[:0], make([]byte, h.Length)...)
			if err := rd.Body(body); err != nil {
				return err
			}
		}
		if counting.Load() {
			if h.Status == 200 {
				count.Add(1)
				*lat = append(*lat, float64(time.Since(at).Microseconds()))
			} else {
				other.Add(1)
			}
		}
	}
}

func quantiles(lats [][]float64) (p50, p99 float64) {
	var all []float64
	for _, l := range lats {
		all = append(all, l...)
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100]
}

func quantile(xs []float64, q float64) float64 {
	xs = slices.Sorted(slices.Values(xs))
	return xs[min(int(q*float64(len(xs))), len(xs)-1)]
}
