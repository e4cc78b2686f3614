package cluster

import (
	"cmp"
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/openapi"
	"mulleinmux/internal/raftnode"
	"mulleinmux/multisite"
)

// defaultTickInterval is the default of [MemberConfig.TickInterval].
const defaultTickInterval = 50 * time.Millisecond

// MemberConfig configures a [Member].
type MemberConfig struct {
	Cluster     string // name in the certificates
	MemberID    uint64 // never reused after the member was removed
	DataFile    string // stores the member's Raft state
	Credentials raftnode.Credentials

	// Members holds the initial addresses of the members by ID; agreed addresses replace them.
	Members map[uint64]clusterconfig.Member

	// RaftListenAddr is the listen address for the other members and AdminListenAddr that for operators. Each defaults
	// to this member's address in Members. StreamListenAddr is the listen address for followers; if it is empty, the
	// member serves no followers.
	RaftListenAddr   string
	AdminListenAddr  string
	StreamListenAddr string

	SendFullVersions    bool          // push full versions to followers in place of deltas; for benchmarks
	DisableKeyOwnership bool          // requests with an idempotency key may go to any site: see package multisite
	TickInterval        time.Duration // Raft tick, 50 ms if 0. An election starts after 10 to 20 ticks without a leader

	// WrapStorage and WrapSend inject faults in scenarios; nil otherwise.
	WrapStorage func(raftnode.Storage) raftnode.Storage
	WrapSend    func(send func(*pb.Message)) func(*pb.Message)
}

// ErrNotInitialized reports that a member has no data file. Only [InitMember] creates one: a member that started
// with an empty file under its old ID could vote twice in a term.
var ErrNotInitialized = errors.New("the file does not exist: create it once with gateway init, " +
	"with --new-cluster for the first members or --join for a further one")

// ValidateDescription checks an OpenAPI description in the same way as all other members. maxUnits bounds the cost of
// an operation.
func ValidateDescription(file, text string, classes []clusterconfig.Class, maxUnits int) error {
	_, _, err := openapi.Compile(file, []byte(text), compileOptions(classes, maxUnits))
	return err
}

// InitMember creates a member's data file, for a new cluster whose voters are all members of the configuration. With
// join, it creates an empty file for a member that will be added to a cluster. It does not change an existing file: the
// error wraps [fs.ErrExist].
func InitMember(cfg *MemberConfig, join bool) error {
	if _, err := os.Stat(cfg.DataFile); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: %w", cfg.DataFile, fs.ErrExist)
	}
	storage, err := raftnode.OpenBoltStorage(cfg.DataFile, cfg.Cluster, cfg.MemberID)
	if err != nil {
		return err
	}
	if !join {
		// All members of a new cluster start from the same empty snapshot.
		voters := slices.Sorted(maps.Keys(cfg.Members))
		raftConfig := raftnode.Config{ID: cfg.MemberID, Voters: voters, Validate: ValidateDescription}
		_, err = raftnode.NewCore(raftConfig, storage)
	}
	return errors.Join(err, storage.Close())
}

// checkIdentity checks that the data file exists and that the certificate identifies this member.
func (c *MemberConfig) checkIdentity() error {
	if _, err := os.Stat(c.DataFile); errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: %w", c.DataFile, ErrNotInitialized)
	}
	return checkCertificate(c.Credentials, raftnode.Identity{Cluster: c.Cluster, Member: c.MemberID})
}

// checkCertificate returns an error if a certificate does not identify the expected subject.
func checkCertificate(credentials raftnode.Credentials, want raftnode.Identity) error {
	got, err := credentials.Identity()
	if err != nil {
		return fmt.Errorf("certificate: want that of %v: %w", want, err)
	}
	if got != want {
		return fmt.Errorf("certificate: issued to %v, want %v", got, want)
	}
	return nil
}

func (c *MemberConfig) tickInterval() time.Duration {
	if c.TickInterval <= 0 {
		return defaultTickInterval
	}
	return c.TickInterval
}

// raftAddrs returns the Raft addresses of members by ID.
func raftAddrs(members map[uint64]clusterconfig.Member) map[uint64]string {
	addrs := make(map[uint64]string, len(members))
	for id, m := range members {
		addrs[id] = m.RaftAddress
	}
	return addrs
}

// configureInstance completes an instance's configuration with the parts that depend on the member and its incarnation.
func (c *MemberConfig) configureInstance(instance *gateway.Config, incarnation uint64) {
	if !c.DisableKeyOwnership {
		instance.Keys = keyOwnershipConfig(c.MemberID, incarnation)
	}
	if instance.Keys != nil {
		settings := &instance.Settings
		instance.Health = siteHealthConfig(c.MemberID, settings.SlowStartWindow)
		instance.QuorumConfirmation = &multisite.ConfirmationConfig{InstanceID: c.MemberID, Incarnation: incarnation}
		if settings.ColdOverloadMultiple > 0 && settings.SlowStartWindow > 0 {
			instance.RecoveryRamp = recoveryRampConfig(c.MemberID, incarnation, settings.ColdBudgetMultiple())
		}
	}
	if relay := instance.Relay; relay != nil {
		relay.TLS = c.Credentials.TLSConfig()
		// An unread session ticket would make an idle connection look used.
		relay.TLS.SessionTicketsDisabled = true
		relay.Verify = func(s tls.ConnectionState) (uint64, error) { return raftnode.VerifyMember(c.Cluster, s) }
	}
	if instance.Agreement == nil {
		instance.Agreement = &gateway.Agreement{}
	}
}

// memberListeners are a member's listeners. Each is closed by the server that is started on it, or by close if the
// start fails before.
type memberListeners struct {
	raft, admin net.Listener
	stream      net.Listener // nil if no followers are served
}

func (c *MemberConfig) listen() (*memberListeners, error) {
	own := c.Members[c.MemberID]
	l := &memberListeners{}
	var failures error
	open := func(name, addr string) net.Listener {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			failures = errors.Join(failures, fmt.Errorf("%s: %w", name, err))
			return nil
		}
		return ln
	}
	l.raft = open("cluster", cmp.Or(c.RaftListenAddr, own.RaftAddress))
	l.admin = open("admin", cmp.Or(c.AdminListenAddr, own.AdminAddress))
	if c.StreamListenAddr != "" {
		l.stream = open("stream", c.StreamListenAddr)
	}
	if failures != nil {
		l.close()
		return nil, failures
	}
	return l, nil
}

func (l *memberListeners) close() {
	for _, ln := range []net.Listener{l.raft, l.admin, l.stream} {
		if ln != nil {
			ln.Close()
		}
	}
}
