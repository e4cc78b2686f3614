package gateway

import (
	"mulleinmux/internal/discovery"
	"mulleinmux/policy"
)

// siteEndpoints holds the IDs of the servers in the endpoint lists of each site. It is guarded by engineHost.mu.
type siteEndpoints struct {
	serverIDs map[string]map[string]bool // by site
}

// changes returns the entries of a site's endpoint list with server IDs that are unique across sites. If the list is
// complete, it adds a removal for each known server that the list no longer contains.
func (e *siteEndpoints) changes(site string, list discovery.EndpointList) []discovery.Endpoint {
	known := e.serverIDs[site]
	if known == nil {
		known = map[string]bool{}
		e.serverIDs[site] = known
	}
	changes := make([]discovery.Endpoint, 0, len(list.Servers))
	listed := map[string]bool{}
	for _, endpoint := range list.Servers {
		endpoint.ID = site + "/" + endpoint.ID
		endpoint.Zone = site
		listed[endpoint.ID] = true
		if endpoint.State == policy.Removed {
			delete(known, endpoint.ID)
		} else {
			known[endpoint.ID] = true
		}
		changes = append(changes, endpoint)
	}
	if !list.IsComplete {
		return changes
	}
	for id := range known {
		if !listed[id] {
			delete(known, id)
			removed := policy.Server{ID: id, State: policy.Removed, Zone: site}
			changes = append(changes, discovery.Endpoint{Server: removed})
		}
	}
	return changes
}

func (e *siteEndpoints) removeSite(site string) { delete(e.serverIDs, site) }

// count returns the number of known servers of all sites.
func (e *siteEndpoints) count() int {
	count := 0
	for _, servers := range e.serverIDs {
		count += len(servers)
	}
	return count
}
