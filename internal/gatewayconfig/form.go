package gatewayconfig

import (
	"fmt"
	"time"
)

// duration is a duration that is written with its unit. It is a struct, so that a bare number is rejected.
type duration struct{ d time.Duration }

// UnmarshalText reads a text such as "400ms".
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is not a valid duration: write it from 0 up with a unit, such as \"400ms\"", text)
	}
	d.d = parsed
	return nil
}

// Errors of the TOML library contain the Go names of the forms and of their fields. These names therefore stay as they
// are, as the tags do, even where the code has other terms. The forms are converted into types with the code's terms.

// instanceForm is the form of an instance's file.
type instanceForm struct {
	Name       string        `toml:"name"`
	Listen     string        `toml:"listen"`
	Zone       string        `toml:"zone"`
	Instance   int           `toml:"instance"`
	PeerListen string        `toml:"peer_listen"`
	Peers      []string      `toml:"peers"`
	Validate   string        `toml:"validate"`
	AccessLog  string        `toml:"access_log"`
	TraceLog   string        `toml:"trace_log"`
	Seed       uint64        `toml:"seed"`
	Limits     limitsForm    `toml:"limits"`
	Servers    serversForm   `toml:"servers"`
	Cluster    *memberForm   `toml:"cluster"`
	Follow     *followerForm `toml:"follow"`
	agreedForm
}

type limitsForm struct {
	Clients        int      `toml:"clients"`
	Servers        int      `toml:"servers"`
	ConnectTimeout duration `toml:"connect_timeout"`
	ConnIdle       duration `toml:"conn_idle"`
	DrainFor       duration `toml:"drain_for"`
	MaxUnits       int      `toml:"most_units"`
	MaxAttempts    int      `toml:"max_attempts"`
	InboxPerS      float64  `toml:"inbox_per_s"`
	MaxRetryAfter  duration `toml:"max_retry_after"`
	AnswerSlack    duration `toml:"answer_slack"`
}

type serversForm struct {
	DrainGrace   duration `toml:"drain_grace"`
	ColdFrom     float64  `toml:"cold_from"`
	RampTime     duration `toml:"ramp_time"`
	FallMultiple float64  `toml:"fall_multiple"`
	OverloadFor  duration `toml:"overload_for"`
}

type memberForm struct {
	Name       string       `toml:"name"`
	Number     uint64       `toml:"number"`
	Data       string       `toml:"data"`
	Certs      string       `toml:"certs"`
	Tick       duration     `toml:"tick"`
	StaleAfter duration     `toml:"stale_after"`
	WhenStale  string       `toml:"when_stale"`
	Keys       string       `toml:"keys"`
	Stream     string       `toml:"stream"`
	Link       *linkForm    `toml:"link"`
	Members    []memberAddr `toml:"member"`
}

type memberAddr struct {
	Number uint64 `toml:"number"`
	Raft   string `toml:"raft"`
	Admin  string `toml:"admin"`
}

type linkForm struct {
	Listen string         `toml:"listen"`
	Most   int            `toml:"most"`
	Far    []linkPeerForm `toml:"far"`
}

type linkPeerForm struct {
	Site    string `toml:"hall"`
	Member  uint64 `toml:"member"`
	Address string `toml:"address"`
}

type followerForm struct {
	Cluster    string       `toml:"cluster"`
	Name       string       `toml:"name"`
	Data       string       `toml:"data"`
	Certs      string       `toml:"certs"`
	StaleAfter duration     `toml:"stale_after"`
	WhenStale  string       `toml:"when_stale"`
	Keys       string       `toml:"keys"`
	Members    []streamAddr `toml:"member"`
}

type streamAddr struct {
	Number uint64 `toml:"number"`
	Stream string `toml:"stream"`
}

// clusterForm is the form of a cluster's file.
type clusterForm struct {
	MaxUnits  int                   `toml:"most_units"`
	Followers []clusterFollowerForm `toml:"follower"`
	agreedForm
}

type clusterFollowerForm struct {
	Name string `toml:"name"`
	Note string `toml:"note"`
	Pin  uint64 `toml:"pin"`
}

// agreedForm holds the fields that belong in a cluster's file or, without a cluster, in an instance's own file.
type agreedForm struct {
	Description string         `toml:"description"`
	Sites       []siteForm     `toml:"hall"`
	Classes     []classForm    `toml:"class"`
	Plans       []planForm     `toml:"plan"`
	Licensees   []licenseeForm `toml:"licensee"`
}

type siteForm struct {
	Name     string `toml:"name"`
	Register string `toml:"register"`
	Closed   bool   `toml:"closed"`
}

type classForm struct {
	Name     string   `toml:"name"`
	Worth    float64  `toml:"worth"`
	Late     float64  `toml:"late"`
	Aim      duration `toml:"aim"`
	Deadline duration `toml:"deadline"`
}

type planForm struct {
	Name         string  `toml:"name"`
	Rate         float64 `toml:"rate"`
	Burst        float64 `toml:"burst"`
	CeilingRate  float64 `toml:"ceiling_rate"`
	CeilingBurst float64 `toml:"ceiling_burst"`
	CeilingSlack float64 `toml:"ceiling_slack"`
	Open         int     `toml:"open"`
	Price        float64 `toml:"price"`
	OverWorth    float64 `toml:"over_worth"`
	OverCost     float64 `toml:"over_cost"`
}

type licenseeForm struct {
	Name string `toml:"name"`
	Plan string `toml:"plan"`
}
