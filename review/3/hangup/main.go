//go:build review

// Command hangup plays case 3: the file of a cluster's member and that of a follower are written anew, and each process
// gets SIGHUP under load. The processes must go on, and every request that they have taken must be answered.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinmux/review/standin"
)

const (
	licensees  = 12
	lookUpRate = 80.0 // look-ups a second, at any instance
	bookRate   = 60.0 // bookings a second
	settleTime = 5 * time.Second
	tryTime    = 2000 * time.Millisecond // after which a client gives a try up
	hangupGap  = 2 * time.Second         // between the signals to the member and to the follower
	lastTime   = 2 * time.Second         // after the last signal
)

func main() {
	program := flag.String("gateway", "", "the gateway's program")
	dir := flag.String("dir", "", "a temporary folder")
	recordPath := flag.String("record", "record.txt", "the record")
	hasTrouble := flag.Bool("trouble", true, "send SIGHUP")
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
	halls, err := standin.NewHalls(record, 6)
	if err != nil {
		return 0, err
	}
	defer halls.Close()
	cluster := &standin.Cluster{Program: program, Dir: dir, Follower: "edge-1", Registers: halls.Registers,
		Zones: [3]string{"hall-a", "hall-b", "hall-a"}}
	for n := range licensees {
		cluster.Licensees = append(cluster.Licensees, licenseeName(n))
	}
	if err := cluster.Reserve(); err != nil {
		return 0, err
	}
	defer cluster.Stop()
	if err := cluster.Start(); err != nil {
		return 0, err
	}
	record.Say("three members and follower edge-1 serve; SIGHUP: %v", hasTrouble)
	g := &game{record: record}
	for _, addr := range append(cluster.Clients[:], cluster.FollowerAddr) {
		client := &standin.Client{Addr: addr}
		defer client.Close()
		g.clients = append(g.clients, client)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { g.send(ctx) })
	time.Sleep(settleTime)

	targets := []struct {
		process *standin.Process
		client  int // index of the instance's client
		file    string
	}{{cluster.Members[1], 1, "member-2.toml"}, {cluster.FollowerProc, 3, "follower.toml"}}
	for _, target := range targets {
		if hasTrouble {
			if err := rewrite(filepath.Join(dir, target.file)); err != nil {
				return 0, err
			}
			record.Add("%s: %s is written anew, SIGHUP", target.process.Name, target.file)
			target.process.Signal(syscall.SIGHUP)
		}
		time.Sleep(hangupGap)
		if target.process.HasExited() {
			g.leave(target.client)
			record.Say("%s has ended", target.process.Name)
			g.ended++
		}
	}
	time.Sleep(lastTime)
	stop()
	running.Wait()
	return g.verdict(), nil
}

// rewrite replaces a file by one with the same settings.
func rewrite(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", append(text, "\n# written anew\n"...), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func licenseeName(n int) string { return fmt.Sprintf("provider-%d", n) }

// game is the clients' state.
type game struct {
	record *standin.Record
	ended  int // processes that ended after SIGHUP

	mu                               sync.Mutex
	clients                          []*standin.Client // of each instance; nil: the front has noticed that it is gone
	served, rejected, failed, unsent int
	lost                             int // taken by a process and never answered
}

// leave records that the front sends no more clients to an instance.
func (g *game) leave(at int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clients[at] = nil
}

// send sends look-ups and bookings at random moments to any instance, until ctx ends.
func (g *game) send(ctx context.Context) {
	rng := rand.New(rand.NewPCG(1, 1))
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / (lookUpRate + bookRate) * float64(time.Second)))
		trace, at := fmt.Sprintf("t%d", n), rng.IntN(4)
		method, text := "GET", standin.SlotCheck(licenseeName(n%licensees), trace, tryTime)
		if rng.Float64() < bookRate/(lookUpRate+bookRate) {
			method, text = "POST", standin.VisitBook(licenseeName(n%licensees), trace, "key-"+trace, tryTime)
		}
		g.mu.Lock()
		client := g.clients[at]
		g.mu.Unlock()
		if client != nil {
			running.Go(func() { g.count(at, method, trace, client.Send(method, text, time.Now().Add(tryTime))) })
		}
	}
}

// count counts a request by its answer. A request whose connection was refused was not taken.
func (g *game) count(at int, method, trace string, answer standin.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case answer.Err != nil && strings.Contains(answer.Err.Error(), "connect: connection refused"):
		g.unsent++
	case answer.Err != nil:
		g.lost++
		g.record.Add("client: %s %s at instance %d: no answer: %v", method, trace, at+1, answer.Err)
	case answer.Status < 300:
		g.served++
	case answer.Status == 429 || answer.Status == 503:
		g.rejected++
	default:
		g.failed++
	}
}

// verdict returns the exit status: Broken if a process ended after SIGHUP or a request that it had taken was not
// answered.
func (g *game) verdict() int {
	g.record.Say("served %d, rejected %d, failed %d, connection refused %d", g.served, g.rejected, g.failed, g.unsent)
	g.record.Say("processes ended by SIGHUP: %d; requests taken and never answered: %d", g.ended, g.lost)
	switch {
	case g.ended > 0 || g.lost > 0:
		g.record.Say("BROKEN: a process crashed, and requests that it had taken were lost")
		return standin.Broken
	case g.served == 0:
		g.record.Say("not run: nothing was served")
		return standin.NotRun
	}
	g.record.Say("held")
	return standin.Held
}
