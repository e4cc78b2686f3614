package gateway

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/logging"
)

// siteWatches holds the watches of the sites' service discovery. The mutex of engineHost guards bySite.
type siteWatches struct {
	ctx      context.Context
	logger   *slog.Logger
	bySite   map[string]siteWatch
	watchers sync.WaitGroup // goroutines of watches
}

// siteWatch is the watch of one site's service discovery.
type siteWatch struct {
	discovery netip.AddrPort
	stop      context.CancelFunc
}

// stopUnneeded stops the watches of sites that are not in the list, and of sites whose discovery address has changed.
// It returns the former sites' names.
func (w *siteWatches) stopUnneeded(sites []Site) (removedSites []string) {
	addrs := map[string]netip.AddrPort{}
	for _, site := range sites {
		addrs[site.Name] = site.Discovery
	}
	for name, watch := range w.bySite {
		addr, isListed := addrs[name]
		if isListed && addr == watch.discovery {
			continue
		}
		if !isListed {
			removedSites = append(removedSites, name)
		}
		watch.stop()
		delete(w.bySite, name)
	}
	return removedSites
}

func (w *siteWatches) has(site string) bool {
	_, isWatched := w.bySite[site]
	return isWatched
}

// add records the watch of a site and returns its context, which ends when the watch is stopped.
func (w *siteWatches) add(site Site) context.Context {
	ctx, stop := context.WithCancel(w.ctx)
	w.bySite[site.Name] = siteWatch{discovery: site.Discovery, stop: stop}
	return ctx
}

// start starts a goroutine that passes a site's endpoint lists to onList until ctx ends.
func (w *siteWatches) start(ctx context.Context, site Site, onList func(discovery.EndpointList)) {
	watcher := &discovery.Watcher{Addr: site.Discovery, SilenceTimeout: discovery.SilenceTimeout, OnList: onList,
		Logger: w.logger.With(slog.String(logging.KeySite, site.Name))}
	w.watchers.Go(func() { watcher.Run(ctx) })
}

// stopAll stops all watches. Their goroutines end later: see watchers.
func (w *siteWatches) stopAll() {
	for _, watch := range w.bySite {
		watch.stop()
	}
}
