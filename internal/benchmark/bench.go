// Package benchmark measures what a request costs a gateway instance in CPU and how many a
// second it takes, beside net/http/httputil's ReverseProxy and a direct call, all in one
// run on the same stand-in servers. Each part is a process of its own, so that the CPU of
// one is not taken for another's.
package benchmark

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/deploy"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/openapi"
	"mulleinmux/internal/testserver"
	"mulleinmux/routing"
)

const (
	serverCount = 16          // servers behind each front
	warmUp      = time.Second // connections come up, caches fill
)

// Options of a measurement.
type Options struct {
	Self    string        // this program, which is started again for each part
	For     time.Duration // of each measurement
	Conns   int           // connections of clients, each with one request at a time
	Rate    float64       // requests a second, over all connections; 0: as many as go through
	Procs   []int         // processors of the front, one measurement each
	Rounds  int           // of each measurement; the medians count
	Profile string        // file for a CPU profile of the gateway; empty: none
}

// Result is what one front did.
type Result struct {
	Front    string  `json:"front"` // "gateway", "reverseproxy" or "direct"
	Procs    int     `json:"procs"`
	Requests int     `json:"requests"`
	Other    int     `json:"other_answers"`
	PerS     float64 `json:"requests_per_s"`
	CPU      float64 `json:"cpu_us_per_request"` // of the front; of a direct call: 0
	Allocs   float64 `json:"allocs_per_request"`
	P50      float64 `json:"p50_us"`
	P99      float64 `json:"p99_us"`
}

// Part names a part that a process plays, with what it is told.
type Part struct {
	Role    string   `json:"role"` // "halls", "gateway", "reverseproxy" or "member"
	Servers []string `json:"servers,omitempty"`
	Profile string   `json:"profile,omitempty"`

	// Of an instance at one of two sites, with Dir.
	Link string `json:"link,omitempty"` // where the far one is reached over the link

	// Of a member.
	Member  uint64                          `json:"member,omitempty"`
	Dir     string                          `json:"dir,omitempty"` // with certificates
	Members map[uint64]clusterconfig.Member `json:"members,omitempty"`
	Stream  string                          `json:"stream,omitempty"` // for followers

	StreamFull bool `json:"stream_full,omitempty"` // by whole versions alone
}

// Play plays a part until standard input ends. It prints the addresses where it listens,
// and at a line of input what it has used so far.
func Play(ctx context.Context, text string, stdin io.Reader, stdout io.Writer) error {
	var p Part
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return fmt.Errorf("part: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var addrs []string
	var err error
	switch p.Role {
	case "halls":
		addrs, err = halls()
	case "gateway":
		addrs, err = startGateway(ctx, p.Servers, nil)
	case "near", "far":
		addrs, err = startSite(ctx, &p)
	case "member":
		addrs, err = startMember(ctx, &p)
	case "reverseproxy":
		addrs, err = startReverseProxy(p.Servers)
	default:
		err = fmt.Errorf("part: unknown role %q", p.Role)
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, strings.Join(addrs, " "))
	var profile *os.File
	if p.Profile != "" {
		if profile, err = os.Create(p.Profile); err != nil {
			return err
		}
		defer profile.Close()
	}
	in := bufio.NewScanner(stdin)
	for n := 0; in.Scan(); n++ {
		if profile != nil && n == 0 {
			if err := pprof.StartCPUProfile(profile); err != nil {
				return err
			}
			defer pprof.StopCPUProfile()
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			return err
		}
		fmt.Fprintln(stdout, time.Duration(u.Utime.Nano()+u.Stime.Nano()).Nanoseconds(), m.Mallocs)
	}
	return in.Err()
}

// halls starts servers that answer at once.
func halls() (addrs []string, err error) {
	body := `{"visit":"9b1f03aa5c7e2d41","slot":"2026-12-24T10:00:00+03:00","installers":2,"district":"Ilala"}`
	answer := []byte("HTTP/1.1 200 OK\r\nDate: Tue, 01 Dec 2026 10:00:00 GMT\r\nContent-Type: application/json\r\nEndpoint-Load-Metrics: TEXT queue=0, util=0.30\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	load := []byte("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nTEXT queue=0, util=0.30")
	for range serverCount {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, ln.Addr().String())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					r := httpwire.NewReader(c)
					var h httpwire.Head
					var b []byte
					for r.Request(&h) == nil {
						if h.Length > 0 {
							b = append(b[:0], make([]byte, h.Length)...)
							if r.Body(b) != nil {
								return
							}
						}
						text := answer
						if h.Target == "/stats" {
							text = load
						}
						if _, err := c.Write(text); err != nil {
							return
						}
					}
				}()
			}
		}()
	}
	return addrs, nil
}

// startGateway starts one instance with the embedded description, quotas and rules; change may set what is its own.
func startGateway(ctx context.Context, servers []string, change func(*gateway.Config)) ([]string, error) {
	reg, err := testserver.NewDiscovery()
	if err != nil {
		return nil, err
	}
	for i, s := range servers {
		reg.Put(testserver.Entry{InstanceID: fmt.Sprint("s", i), HostPort: s, Zone: "hall-a", MachineType: "k", Lifecycle: "up", Weight: 1})
	}
	classes := []routing.Class{{Name: "slot-check", PriorityWeight: 3, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second},
		{Name: "visit-book", PriorityWeight: 9, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second}}
	table, _, err := openapi.Compile("booking.yaml", deploy.Booking, routing.Options{Classes: classes, MaxUnits: 50})
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cfg := &gateway.Config{Name: "gate", Sites: []gateway.Site{{Name: "hall-a", Discovery: reg.Addr()}}, Classes: classes,
		Licensees: map[string]gateway.Licensee{}, Settings: settings()}
	for i := range 100 {
		name := fmt.Sprint("licensee-", i)
		cfg.Licensees[name] = gateway.Licensee{Plan: "kubwa", Customer: gateway.CustomerOf(name)}
	}
	cfg.UseSockets(ln, nil)
	want := len(servers)
	if change != nil {
		change(cfg)
		want = 1
	}
	ready := make(chan *gateway.Instance, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- gateway.Run(ctx, cfg, cfg.Setup(1, table, nil), log.New(os.Stderr, "", 0), func(in *gateway.Instance) { ready <- in })
	}()
	select {
	case err := <-ended:
		return nil, err
	case in := <-ready:
		if err := in.AwaitServers(ctx, want, 10*time.Second); err != nil {
			return nil, err
		}
	}
	return []string{ln.Addr().String()}, nil
}

// startReverseProxy starts the standard library's proxy with its transport tuned: enough
// idle connections for each server, no compression, no copy buffers to collect.
func startReverseProxy(servers []string) ([]string, error) {
	var next atomic.Uint64
	targets := make([]*url.URL, len(servers))
	for i, s := range servers {
		targets[i] = &url.URL{Scheme: "http", Host: s}
	}
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			to := targets[next.Add(1)%uint64(len(targets))]
			r.Out.URL.Scheme, r.Out.URL.Host = to.Scheme, to.Host
		},
		Transport:  &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 1024, DisableCompression: true, IdleConnTimeout: time.Minute},
		BufferPool: &buffers{p: sync.Pool{New: func() any { return make([]byte, 4<<10) }}},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(ln, p)
	return []string{ln.Addr().String()}, nil
}

type buffers struct{ p sync.Pool }

func (b *buffers) Get() []byte { return b.p.Get().([]byte) }

func (b *buffers) Put(x []byte) {
	//lint:ignore SA6002 the baseline is measured as its users build it
	b.p.Put(x[:cap(x)])
}

// process is a part in a process of its own.
type process struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	addrs []string
}

func begin(ctx context.Context, self string, procs int, p Part) (*process, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, self, "bench-part", string(text))
	cmd.Env = os.Environ()
	if p.Stream == "" { // its memory counts
		cmd.Env = append(cmd.Env, "GOGC=400")
	}
	if procs > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprint("GOMAXPROCS=", procs))
	}
	cmd.Stderr = io.Discard
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	pr := &process{cmd, in, bufio.NewReader(out), nil}
	line, err := pr.out.ReadString('\n')
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", p.Role, err), pr.end())
	}
	pr.addrs = strings.Fields(line)
	return pr, nil
}

// used is CPU time and allocations of the process so far.
func (p *process) used() (cpu time.Duration, allocs uint64, err error) {
	if _, err := io.WriteString(p.in, "\n"); err != nil {
		return 0, 0, err
	}
	var ns int64
	_, err = fmt.Fscanln(p.out, &ns, &allocs)
	return time.Duration(ns), allocs, err
}

func (p *process) end() error {
	p.in.Close()
	return p.cmd.Wait()
}

// Run measures, and calls tell with each result as it comes.
func Run(ctx context.Context, opt Options, tell func(Result)) error {
	back, err := begin(ctx, opt.Self, 0, Part{Role: "halls"})
	if err != nil {
		return err
	}
	defer back.end()
	for range opt.Rounds {
		r, err := measure(opt, "direct", 0, back.addrs, nil)
		if err != nil {
			return err
		}
		tell(r)
		for _, procs := range opt.Procs {
			for _, front := range []string{"gateway", "reverseproxy"} {
				part := Part{Role: front, Servers: back.addrs}
				if front == "gateway" {
					part.Profile = opt.Profile
				}
				p, err := begin(ctx, opt.Self, procs, part)
				if err != nil {
					return err
				}
				r, err := measure(opt, front, procs, p.addrs, p)
				if err = errors.Join(err, p.end()); err != nil {
					return err
				}
				tell(r)
			}
		}
	}
	return nil
}

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

// drive is one connection with one request at a time: a booking, then a look-up.
func drive(addr string, i int, stop chan struct{}, counting *atomic.Bool, opt Options, count, other *atomic.Int64, lat *[]float64) error {
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
			out = fmt.Appendf(out[:0], "POST /v1/visits HTTP/1.1\r\nHost: booking.example.org\r\nX-Trace-Id: t%d-%d\r\nX-Licensee: licensee-%d\r\nX-Expires-In: 2.000\r\nIdempotency-Key: k%d-%d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
				i, n, i%100, i, n, len(book), book)
		} else {
			out = fmt.Appendf(out[:0], "GET /v1/districts/Ilala/slots?days=1 HTTP/1.1\r\nHost: booking.example.org\r\nX-Trace-Id: t%d-%d\r\nX-Licensee: licensee-%d\r\nX-Expires-In: 2.000\r\nAccept: application/json\r\n\r\n",
				i, n, i%100)
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
