package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"log"
	"net"
	"sync"
	"time"

	"mulleinmux/internal/gossip"
)

// Licensee is what the configuration says of a licensee.
type Licensee struct {
	Plan     string
	Customer uint64 // the module's name for it, the same at every instance
}

// CustomerOf gives a licensee its number.
func CustomerOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() >> 1
}

// newTrace makes an id for a request that came without one.
func newTrace() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Run runs an instance until ctx ends, then drains it: it takes requests for DrainFor
// more, finishes what it has taken, within the longest deadline, and returns. begun is
// called once the instance listens. With Config.Agreed it is ready when a setup with a
// table has been installed and confirmed, else at once.
func Run(ctx context.Context, cfg *Config, setup Setup, logger *log.Logger, begun func(*Instance)) error {
	life, stop := context.WithCancel(context.Background())
	defer stop()
	in, err := newInstance(life, cfg, setup, logger)
	if err != nil {
		return err
	}
	defer func() {
		stop()
		in.close()
	}()
	ln := cfg.listener
	if ln == nil {
		if ln, err = net.Listen("tcp", cfg.Listen.String()); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	defer ln.Close()
	switch {
	case cfg.peerConn != nil:
		in.peers = gossip.NewSocket(cfg.peerConn, cfg.Settings.InstanceIndex, cfg.Peers, cfg.PeerListen)
	case cfg.PeerListen.IsValid():
		if in.peers, err = gossip.Listen(cfg.PeerListen, cfg.Settings.InstanceIndex, cfg.Peers, cfg.PeerListen); err != nil {
			return err
		}
	}
	var side sync.WaitGroup
	defer side.Wait()
	defer stop()
	in.event(in.gw.Start)
	if in.peers != nil {
		defer in.peers.Close()
		side.Go(func() { in.peers.Receive(in.whisper) })
	}
	side.Go(func() { in.servers.reap(life) })

	f := &front{in: in, conns: map[*client]struct{}{}}
	failed := make(chan error, 2)
	side.Go(func() { failed <- f.serve(ln) })
	if cfg.Relay != nil {
		lln := cfg.Relay.listener
		if lln == nil {
			if lln, err = net.Listen("tcp", cfg.Relay.Listen.String()); err != nil {
				ln.Close()
				return fmt.Errorf("link: %w", err)
			}
		}
		f.link = lln
		defer lln.Close()
		side.Go(func() { failed <- f.serve(linkListener{lln, in.link}) })
	}
	f.ready.Store(true)
	if setup.Table != nil {
		logger.Printf("%s: ready on %s, %d operations", cfg.Name, ln.Addr(), len(setup.Table.Operations))
	} else {
		logger.Printf("%s: listens on %s, and waits for what is agreed", cfg.Name, ln.Addr())
	}
	begun(in)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	logger.Printf("%s: draining", cfg.Name)
	f.drain(ln)
	stop()
	in.close()
	logger.Printf("%s: drained", cfg.Name)
	return nil
}

// drain ends serving. Clients still come for a while and are answered, on connections
// that close behind the answer; then the listener closes, and what was taken is finished.
func (f *front) drain(ln net.Listener) {
	f.ready.Store(false)
	f.draining.Store(true)
	<-time.After(f.in.cfg.DrainTimeout)
	ln.Close()
	if f.link != nil {
		f.link.Close()
	}
	f.mu.Lock()
	for c := range f.conns {
		if !c.busy.Load() {
			c.nc.SetReadDeadline(past)
		}
	}
	f.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		f.handlers.Wait()
		close(ended)
	}()
	longest := time.Duration(0)
	for _, c := range f.in.Table().Classes {
		longest = max(longest, c.Deadline)
	}
	select {
	case <-ended:
		return
	case <-time.After(longest + f.in.cfg.Settings.ResponseSlack + restLimit):
	}
	f.mu.Lock()
	for c := range f.conns {
		c.nc.Close()
	}
	f.mu.Unlock()
	<-ended
}
