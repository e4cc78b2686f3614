//go:build review

// Command sharedid plays case 3: two sites with a link, and beside the usual client a bad one, which sends a booking of its
// own with the id of the usual client's open request through another instance. The link between two instances drops in the
// middle of the usual client's booking.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"mulleinmux/review/standin"
)

const (
	rounds     = 30
	licensees  = 4
	settleTime = 5 * time.Second
	roundTime  = 1500 * time.Millisecond
	badAfter   = 60 * time.Millisecond  // the bad client's request, after the usual client's
	dropAfter  = 350 * time.Millisecond // the link is silent for so long, then its connections are reset
	tryTime    = 2 * time.Second
)

func main() {
	program := flag.String("gateway", "", "the gateway's program")
	dir := flag.String("dir", "", "a temporary folder")
	recordPath := flag.String("record", "record.txt", "the record")
	hasTrouble := flag.Bool("trouble", true, "drop the link")
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
	cluster := &standin.Cluster{Program: program, Dir: dir, Registers: halls.Registers,
		Zones: [3]string{"hall-a", "hall-b", "hall-a"}}
	for n := range licensees {
		cluster.Licensees = append(cluster.Licensees, licenseeName(n))
	}
	if err := cluster.Reserve(); err != nil {
		return 0, err
	}
	var listen [3]string
	for i := range listen {
		if listen[i], err = standin.FreeAddr(); err != nil {
			return 0, err
		}
	}
	link, err := standin.NewLink(listen[1])
	if err != nil {
		return 0, err
	}
	link.ResetsWhenBack = true
	defer link.Close()
	far := func(hall string, member int, addr string) string {
		return fmt.Sprintf("\n[[cluster.link.far]]\nhall = %q\nmember = %d\naddress = %q\n", hall, member, addr)
	}
	own := func(i int) string { return fmt.Sprintf("\n[cluster.link]\nlisten = %q\nmost = 64\n", listen[i]) }
	cluster.Extra[0] = own(0) + far("hall-b", 2, link.Addr())
	cluster.Extra[1] = own(1) + far("hall-a", 1, listen[0]) + far("hall-a", 3, listen[2])
	cluster.Extra[2] = own(2) + far("hall-b", 2, listen[1])
	defer cluster.Stop()
	if err := cluster.Start(); err != nil {
		return 0, err
	}
	record.Say("members 1 and 3 at hall-a and member 2 at hall-b serve; the link drops: %v", hasTrouble)
	time.Sleep(settleTime)
	usual := &standin.Client{Addr: cluster.Clients[0], NoResend: true}
	bad := &standin.Client{Addr: cluster.Clients[2], NoResend: true}
	defer usual.Close()
	defer bad.Close()
	foreign, served, other, never := 0, 0, 0, 0
	for round := range rounds {
		start := time.Now()
		trace, key := fmt.Sprintf("visit-%d", round), fmt.Sprintf("key-%d", round)
		var warming sync.WaitGroup
		for n := range 6 { // other clients' bookings, so that connections over the link stand idle
			warming.Go(func() {
				name := fmt.Sprintf("other-%d-%d", round, n)
				text := standin.VisitBook(licenseeName(2), name, name, tryTime)
				answer := usual.Send("POST", text, time.Now().Add(tryTime))
				record.Add("other client: %s has %d", name, answer.Status)
			})
		}
		warming.Wait()
		if hasTrouble {
			link.Cut()
		}
		var running sync.WaitGroup
		running.Go(func() {
			time.Sleep(badAfter)
			record.Add("bad client: %s with key bad-%s sent to member 3", trace, key)
			text := standin.VisitBook(licenseeName(1), trace, "bad-"+key, tryTime)
			answer := bad.Send("POST", text, time.Now().Add(tryTime))
			record.Add("bad client: %s with key bad-%s has %d %s", trace, key, answer.Status, strings.TrimSpace(answer.Body))
		})
		if hasTrouble {
			running.Go(func() {
				time.Sleep(dropAfter)
				link.Restore()
				record.Add("the link's connections are reset")
			})
		}
		record.Add("client: %s with key %s sent to member 1", trace, key)
		answer := usual.Send("POST", standin.VisitBook(licenseeName(0), trace, key, tryTime), time.Now().Add(tryTime))
		record.Add("client: %s with key %s has %d %s", trace, key, answer.Status, strings.TrimSpace(answer.Body))
		switch {
		case answer.Status == 201 && strings.Contains(answer.Body, fmt.Sprintf(`"key":%q`, key)):
			served++
		case answer.Status == 201:
			foreign++
			if len(halls.EffectsByKey()[key]) == 0 {
				never++
			}
		default:
			other++
		}
		running.Wait()
		time.Sleep(time.Until(start.Add(roundTime)))
	}
	record.Say("%d bookings: served %d, rejected or failed %d", rounds, served, other)
	record.Say("served with the answer to the bad client's booking: %d, of these never run: %d", foreign, never)
	switch {
	case foreign > 0:
		record.Say("BROKEN: a client was served with an answer that was not made for its request")
		return standin.Broken, nil
	case served == 0:
		return 0, fmt.Errorf("nothing was served")
	}
	record.Say("held")
	return standin.Held, nil
}

func licenseeName(n int) string { return fmt.Sprintf("provider-%d", n) }
