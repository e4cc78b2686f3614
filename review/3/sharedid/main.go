//go:build review

// Command sharedid plays case 3: two sites with a link, and beside the usual client a bad one, which sends a booking of its
// own with the id of the usual client's open request through another instance. The link between two instances drops in the
// middle of the usual client's booking.
package main

import (
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"strings"
	"sync"
	"time"

	"mulleinmux/internal/splitmix"
	"mulleinmux/review/standin"
)

const (
	drops      = 2 // of the link
	pairs      = 4 // open bookings at each drop, each with a bad client's booking
	licensees  = 12
	settleTime = 5 * time.Second
	spacing    = 5 * time.Millisecond // between the usual clients' bookings
	roundTime  = 4 * time.Second
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
	var mu sync.Mutex
	foreign, served, other, never := 0, 0, 0, 0
	for round := range drops {
		start := time.Now()
		var warming sync.WaitGroup
		for n := range 18 { // other clients' bookings, so that connections over the link stand idle
			warming.Go(func() {
				time.Sleep(time.Duration(n/6) * 400 * time.Millisecond)
				name := fmt.Sprintf("other-%d-%d", round, n)
				text := standin.VisitBook(licenseeName(n%licensees), name, name, tryTime)
				answer := usual.Send("POST", text, time.Now().Add(tryTime))
				record.Add("other client: %s has %d", name, answer.Status)
			})
		}
		warming.Wait()
		time.Sleep(time.Until(start.Add(1500 * time.Millisecond)))
		if hasTrouble {
			link.Cut()
			record.Add("the link is silent")
		}
		var running sync.WaitGroup
		for n := range pairs {
			trace := fmt.Sprintf("visit-%d-%d", round, n)
			key := keyOfHallB(licenseeName(n), fmt.Sprintf("key-%d-%d", round, n))
			badKey := keyOfHallB(licenseeName(n+1), "bad-"+key)
			running.Go(func() {
				time.Sleep(time.Duration(n)*spacing + badAfter)
				record.Add("bad client: %s with key %s sent to member 3", trace, badKey)
				text := standin.VisitBook(licenseeName(n+1), trace, badKey, tryTime)
				answer := bad.Send("POST", text, time.Now().Add(tryTime))
				record.Add("bad client: %s with key %s has %d %s", trace, badKey, answer.Status, strings.TrimSpace(answer.Body))
			})
			running.Go(func() {
				time.Sleep(time.Duration(n) * spacing)
				record.Add("client: %s with key %s sent to member 1", trace, key)
				text := standin.VisitBook(licenseeName(n), trace, key, tryTime)
				answer := usual.Send("POST", text, time.Now().Add(tryTime))
				record.Add("client: %s with key %s has %d %s", trace, key, answer.Status, strings.TrimSpace(answer.Body))
				mu.Lock()
				defer mu.Unlock()
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
			})
		}
		if hasTrouble {
			time.Sleep(dropAfter)
			link.Restore()
			record.Add("the link's connections are reset")
		}
		running.Wait()
		time.Sleep(time.Until(start.Add(roundTime)))
	}
	record.Say("%d bookings: served %d, rejected or failed %d", drops*pairs, served, other)
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

// keyOfHallB returns a key that begins with a name and, with both halls open, is owned by hall-b: as package multisite
// computes owners, the hall with the larger hash of its name and the key.
func keyOfHallB(licensee, name string) string {
	weight := func(hall string, key uint64) uint64 {
		hash := fnv.New64a()
		hash.Write([]byte(hall))
		return splitmix.Mix(hash.Sum64() ^ key)
	}
	for n := 0; ; n++ {
		text := fmt.Sprintf("%s-%d", name, n)
		hash := fnv.New64a()
		hash.Write([]byte(licensee + "\x00" + text))
		if key := hash.Sum64(); weight("hall-b", key) > weight("hall-a", key) {
			return text
		}
	}
}

func licenseeName(n int) string { return fmt.Sprintf("provider-%d", n) }
