package cluster

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/raftnode"
)

// Status is a member's status and its view of the cluster.
type Status struct {
	raftnode.Status
	Cluster string `json:"cluster"`

	// InstalledVersion is the version in force at the instance.
	InstalledVersion uint64 `json:"installed"`
	// ConfirmedAgeMs is the time since a quorum last confirmed the version, or -1 if none has since the start.
	ConfirmedAgeMs int64 `json:"age_ms"`
	IsServing      bool  `json:"serves"`
	// InstallError is the reason why the agreed version is not in force at the instance, or empty if it is.
	InstallError string `json:"note,omitempty"`

	SiteStates map[string]string               `json:"halls,omitempty"` // by site, as seen by this instance
	Members    map[uint64]clusterconfig.Member `json:"members"`         // voters and learners
}

// Objects are the agreed objects of a version, by kind and name.
type Objects struct {
	Version uint64                                `json:"version"`
	Hash    string                                `json:"hash"`
	Objects map[string]map[string]json.RawMessage `json:"objects"`
}

// status returns this member's status.
func (a *adminServer) status(ctx context.Context) (*Status, error) {
	s, err := a.member.node.Status(ctx)
	if err != nil {
		return nil, err
	}
	status := &Status{
		Status:         s,
		Cluster:        a.member.cfg.Cluster,
		ConfirmedAgeMs: -1,
		Members:        map[uint64]clusterconfig.Member{},
	}
	m := a.member
	m.mu.Lock()
	instance := m.instance
	status.InstallError = m.installError
	for _, id := range slices.Concat(s.Voters, s.Learners) {
		status.Members[id] = m.members[id]
	}
	m.mu.Unlock()
	if instance == nil {
		return status, nil
	}
	status.InstalledVersion = instance.Version()
	status.SiteStates = instance.SiteStates()
	age, isServing := instance.Confirmation(time.Now())
	status.IsServing = isServing
	if age > 0 {
		status.ConfirmedAgeMs = age.Milliseconds()
	}
	return status, nil
}

// objects returns the objects of the state that a quorum confirms or, with the query parameter "local", those of the
// state applied at this member.
func (a *adminServer) objects(ctx context.Context, r *http.Request) (*Objects, error) {
	read := a.readConfirmedState
	if r.URL.Query().Get(queryLocal) != "" {
		read = a.member.node.AppliedState
	}
	state, err := read(ctx)
	if err != nil {
		return nil, err
	}
	response := &Objects{
		Version: state.Version(),
		Hash:    state.Hash(),
		Objects: map[string]map[string]json.RawMessage{},
	}
	for _, kind := range objectKinds {
		state.Each(kind, func(name string, value json.RawMessage) {
			if response.Objects[kind] == nil {
				response.Objects[kind] = map[string]json.RawMessage{}
			}
			response.Objects[kind][name] = value
		})
	}
	return response, nil
}

// history returns the versions that the cluster retains, the oldest first.
func (a *adminServer) history(ctx context.Context, _ *http.Request) (records []clusterconfig.HistoryRecord, err error) {
	err = a.member.node.LinearizableRead(ctx, func(s *clusterconfig.State) { records = s.History() })
	return records, err
}

// readConfirmedState returns the newest state, as confirmed by a quorum.
func (a *adminServer) readConfirmedState(ctx context.Context) (state *clusterconfig.State, err error) {
	err = a.member.node.LinearizableRead(ctx, func(newest *clusterconfig.State) { state = newest.Freeze() })
	return state, err
}
