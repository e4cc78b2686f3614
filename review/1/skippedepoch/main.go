//go:build review

// Command skippedepoch plays case 1: a follower whose configuration stream is silent for some seconds, while an operator
// closes a hall for keys and opens it again, and clients whose first tries get no answer and that retry at the follower.
// No booking may run at two halls.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulleinmux/review/standin"
)

const (
	bookings     = 15 // whose first answers are lost
	licensees    = 8
	lookUpRate   = 60.0                   // look-ups a second beside them, at any instance
	otherRate    = 20.0                   // other bookings a second
	settleTime   = 5 * time.Second        // after the start: instances take no bookings for 3.5 s
	closeAt      = 200 * time.Millisecond // times since the stream fell silent
	firstTryAt   = 3950 * time.Millisecond
	openAt       = 4400 * time.Millisecond
	restoreAt    = 4600 * time.Millisecond
	endAt        = 6500 * time.Millisecond
	firstTryTime = 1000 * time.Millisecond // half of the class's give-up time of 2 s
	repeatTime   = 2000 * time.Millisecond // clients repeat a key for 2 s at the most after the first try began
	maxRetries   = 3
	retryPause   = 200 * time.Millisecond // least wait of a client before a retry
)

func main() {
	program := flag.String("gateway", "", "the gateway's program")
	dir := flag.String("dir", "", "a temporary folder")
	recordPath := flag.String("record", "record.txt", "the record")
	hasTrouble := flag.Bool("trouble", true, "silence the follower's stream")
	flag.Parse()
	record, err := standin.NewRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(standin.NotRun)
	}
	status, err := play(*program, *dir, record, *hasTrouble)
	if err != nil {
		record.Say("not run: %v", err)
		status = standin.NotRun
	}
	record.Close()
	os.Exit(status)
}

func play(program, dir string, record *standin.Record, hasTrouble bool) (int, error) {
	halls, err := standin.NewHalls(record, 3)
	if err != nil {
		return 0, err
	}
	defer halls.Close()
	// The answers to the clients' first tries are lost after the bookings ran.
	halls.LoseAnswer = func(_ string, call standin.Call) bool {
		return strings.HasPrefix(call.Trace, "visit") && strings.HasSuffix(call.Trace, ".1")
	}

	cluster := &standin.Cluster{Program: program, Dir: dir, Follower: "edge-1", Registers: halls.Registers,
		Zones: [3]string{"hall-a", "hall-b", "hall-a"}}
	for n := range licensees {
		cluster.Licensees = append(cluster.Licensees, licenseeName(n))
	}
	if err := cluster.Reserve(); err != nil {
		return 0, err
	}
	var links []*standin.Link
	for i, target := range cluster.Stream {
		link, err := standin.NewLink(target)
		if err != nil {
			return 0, err
		}
		defer link.Close()
		cluster.StreamVia[i] = link.Addr()
		links = append(links, link)
	}
	defer cluster.Stop()
	if err := cluster.Start(); err != nil {
		return 0, err
	}
	record.Say("three members and follower edge-1 serve; stream silenced: %v", hasTrouble)
	g := &game{record: record, names: []string{"member 1", "member 2", "member 3", "edge-1"}}
	for _, addr := range append(cluster.Clients[:], cluster.FollowerAddr) {
		client := &standin.Client{Addr: addr, NoResend: true}
		defer client.Close()
		g.clients = append(g.clients, client)
	}
	ctx, stopOthers := context.WithCancel(context.Background())
	defer stopOthers()
	var others sync.WaitGroup
	others.Go(func() { g.sendOthers(ctx) })
	time.Sleep(settleTime)

	start := time.Now()
	if hasTrouble {
		for _, link := range links {
			link.Cut()
		}
		record.Add("the follower's streams are silent")
	}
	operated := make(chan error, 1)
	go func() { operated <- operate(cluster, links, record, start, hasTrouble) }()
	time.Sleep(time.Until(start.Add(firstTryAt)))
	var running sync.WaitGroup
	for n := range bookings {
		running.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			g.book(n)
		})
	}
	running.Wait()
	time.Sleep(time.Until(start.Add(endAt)))
	stopOthers()
	others.Wait()
	if err := <-operated; err != nil {
		return 0, err
	}
	time.Sleep(300 * time.Millisecond) // what is under way at servers
	return g.verdict(halls), nil
}

// operate closes hall-a for keys, opens it again and restores the stream.
func operate(
	cluster *standin.Cluster, links []*standin.Link, record *standin.Record, start time.Time, hasTrouble bool,
) error {
	time.Sleep(time.Until(start.Add(closeAt)))
	if err := cluster.Apply("hall-a", 0); err != nil {
		return err
	}
	record.Add("operator: hall-a is closed for keys")
	time.Sleep(time.Until(start.Add(openAt)))
	if err := cluster.Apply("", 0); err != nil {
		return err
	}
	record.Add("operator: hall-a is open for keys again")
	time.Sleep(time.Until(start.Add(restoreAt)))
	for _, link := range links {
		link.Restore()
	}
	if hasTrouble {
		record.Add("the follower's streams are back, after %v", time.Since(start).Round(time.Millisecond))
	}
	return nil
}

func licenseeName(n int) string { return fmt.Sprintf("provider-%d", n) }

// game is the clients' state.
type game struct {
	record  *standin.Record
	clients []*standin.Client // of each instance; the follower's is the last
	names   []string          // of the instances

	mu                       sync.Mutex
	served, rejected, failed int // bookings whose first answers are lost, by the last answer of their clients
	others, othersServed     int // other requests
}

const follower = 3 // index of the follower's client

// sendOthers sends look-ups and bookings at random moments to any instance, until ctx ends.
func (g *game) sendOthers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(1, 1))
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / (lookUpRate + otherRate) * float64(time.Second)))
		trace, client := fmt.Sprintf("other-%d", n), g.clients[rng.IntN(len(g.clients))]
		method, text := "GET", standin.SlotCheck(licenseeName(n%licensees), trace, 2*time.Second)
		if rng.Float64() < otherRate/(lookUpRate+otherRate) {
			method, text = "POST", standin.VisitBook(licenseeName(n%licensees), trace, "key-"+trace, 2*time.Second)
		}
		running.Go(func() {
			g.record.Add("client: %s %s sent", method, trace)
			answer := client.Send(method, text, time.Now().Add(2*time.Second))
			g.record.Add("client: %s %s has %d", method, trace, answer.Status)
			g.mu.Lock()
			defer g.mu.Unlock()
			g.others++
			if answer.Status == 200 || answer.Status == 201 {
				g.othersServed++
			}
		})
	}
}

// book books a visit: a first try at a member, then up to three retries at the follower.
func (g *game) book(n int) {
	licensee, name := licenseeName(n%licensees), fmt.Sprintf("visit-%d", n)
	begin := time.Now()
	answer := g.try(n%follower, licensee, name, 1, firstTryTime)
	for retry := 1; retry <= maxRetries && answer.Status != 201; retry++ {
		seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		time.Sleep(max(retryPause, time.Duration(seconds*float64(time.Second))))
		left := repeatTime - time.Since(begin)
		if left < retryPause {
			break
		}
		answer = g.try(follower, licensee, name, 1+retry, left)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch answer.Status {
	case 201:
		g.served++
	case 429, 503:
		g.rejected++
	default:
		g.failed++
	}
}

// try sends one try to an instance and returns its answer.
func (g *game) try(at int, licensee, name string, number int, expiresIn time.Duration) standin.Answer {
	trace := fmt.Sprintf("%s.%d", name, number)
	g.record.Add("client: %s to %s", trace, g.names[at])
	text := standin.VisitBook(licensee, trace, "key-"+name, expiresIn)
	answer := g.clients[at].Send("POST", text, time.Now().Add(expiresIn))
	g.record.Add("client: %s has %d %s", trace, answer.Status, strings.TrimSpace(answer.Body))
	return answer
}

// verdict returns the exit status: Broken if a booking ran at two halls, or twice at one.
func (g *game) verdict(halls *standin.Halls) int {
	twice, ran := 0, 0
	for key, effects := range halls.EffectsByKey() {
		ran++
		if len(effects) < 2 {
			continue
		}
		twice++
		for _, e := range effects {
			g.record.Add("%s ran at %s (%s, trace %s)", key, e.Hall, e.Server, e.Trace)
		}
	}
	g.record.Say("%d other requests, %d served; %d bookings with a lost answer: at the end served %d, rejected %d, failed %d",
		g.others, g.othersServed, bookings, g.served, g.rejected, g.failed)
	g.record.Say("keys that ran: %d", ran)
	g.record.Say("booked twice: %d", twice)
	switch {
	case twice > 0:
		g.record.Say("BROKEN: a booking had its effect twice")
		return standin.Broken
	case ran == 0:
		g.record.Say("not run: no booking ran")
		return standin.NotRun
	}
	g.record.Say("held")
	return standin.Held
}
