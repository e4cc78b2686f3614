package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gatewayconfig"
	"mulleinmux/internal/raftnode"
)

// configAt is which instances an operator asks, and as whom.
type configAt struct {
	At       []string      `help:"Admin addresses of instances: the first that can be reached is asked." default:"127.0.0.1:7201" env:"MULLEINGATE_AT"`
	Certs    string        `help:"Folder with the operator's certificate." default:"certs" env:"MULLEINGATE_CERTS" type:"path"`
	Operator string        `help:"The operator, by the name in the certificate's file." default:"admin" env:"MULLEINGATE_OPERATOR"`
	Timeout  time.Duration `help:"How long to wait." default:"10s"`
	JSON     bool          `help:"Print the answer as JSON."`
}

// configCmd asks instances of a cluster.
type configCmd struct {
	configAt

	Get     getCmd     `cmd:"" help:"Show what is agreed on. Example: gateway config get plan kubwa"`
	History historyCmd `cmd:"" help:"Show the versions: when, who, why and what."`
	Diff    diffCmd    `cmd:"" help:"Show what a file would change; exits 1 if it would. Example: gateway config diff fleet.toml"`
	Apply   applyCmd   `cmd:"" help:"Have the instances agree on what a file says. Example: gateway config apply fleet.toml --why 'new tariff' --wait applied-everywhere"`
	Members membersCmd `cmd:"" help:"Change the members."`
	Epoch   epochCmd   `cmd:"" help:"Begin a new epoch of versions, after members were restored from a backup."`
	Status  statusCmd  `cmd:"" help:"Show how each member stands."`
}

// errDiffers is a file that would change something: what has been printed.
var errDiffers = errors.New("the file differs from what is agreed on")

func (c *configAt) client() (*cluster.Client, error) {
	creds, err := raftnode.LoadCredentialFiles(c.Certs, raftnode.OperatorFilePrefix(c.Operator))
	if err != nil {
		return nil, usage{fmt.Errorf("--certs, --operator: %w (made by gateway certs --operators %s)", err, c.Operator)}
	}
	h, err := creds.Identity()
	if err != nil {
		return nil, usage{fmt.Errorf("--certs: %w", err)}
	}
	return cluster.NewClient(h.Cluster, creds, c.At...), nil
}

// ask runs f with a client and a context that ends with the operator's patience.
func (c *configAt) ask(e *env, f func(context.Context, *cluster.Client) error) error {
	if c.Timeout < 100*time.Millisecond || c.Timeout > 2*time.Minute {
		return usage{fmt.Errorf("--timeout: %v is outside 100ms to 2m", c.Timeout)}
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	err = f(ctx, cl)
	if a, ok := errors.AsType[*cluster.ResponseError](err); ok && a.Status == 400 {
		return usage{err}
	}
	return err
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type getCmd struct {
	Kind  string `arg:"" optional:"" help:"Kind of objects; all otherwise."`
	Name  string `arg:"" optional:"" help:"Name of one."`
	Local bool   `help:"As applied at the instance asked, without asking the others: it may be old."`
}

func (c *getCmd) Run(e *env, cc *configCmd) error {
	return cc.ask(e, func(ctx context.Context, cl *cluster.Client) error {
		o, err := cl.Objects(ctx, c.Local)
		if err != nil {
			return err
		}
		if c.Kind != "" {
			of := o.Objects[c.Kind]
			if c.Name != "" {
				v, ok := of[c.Name]
				if !ok {
					return fmt.Errorf("version %d has no %s %s", o.Version, c.Kind, c.Name)
				}
				of = map[string]json.RawMessage{c.Name: v}
			}
			o.Objects = map[string]map[string]json.RawMessage{c.Kind: of}
		}
		if cc.JSON {
			return printJSON(e.stdout, o)
		}
		fmt.Fprintf(e.stdout, "version %d\n", o.Version)
		for _, kind := range slices.Sorted(maps.Keys(o.Objects)) {
			for _, name := range slices.Sorted(maps.Keys(o.Objects[kind])) {
				fmt.Fprintf(e.stdout, "%s %s %s\n", kind, name, short(o.Objects[kind][name]))
			}
		}
		return nil
	})
}

// short words a value for a line.
func short(v json.RawMessage) string {
	var d clusterconfig.Description
	if json.Unmarshal(v, &d) == nil && d.Text != "" {
		return fmt.Sprintf("{\"file\":%q, %d bytes}", d.File, len(d.Text))
	}
	return string(v)
}

type historyCmd struct {
	Last int `help:"So many of the latest versions; 0: all that are kept." default:"20"`
}

func (c *historyCmd) Run(e *env, cc *configCmd) error {
	return cc.ask(e, func(ctx context.Context, cl *cluster.Client) error {
		h, err := cl.History(ctx)
		if err != nil {
			return err
		}
		if c.Last > 0 && len(h) > c.Last {
			h = h[len(h)-c.Last:]
		}
		if cc.JSON {
			return printJSON(e.stdout, h)
		}
		w := tabwriter.NewWriter(e.stdout, 0, 4, 2, ' ', 0)
		for _, r := range h {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", r.Version, time.UnixMilli(r.ProposedAtMs).UTC().Format(time.RFC3339), r.Author, strings.Join(r.Changes, ", "), r.Reason)
		}
		return w.Flush()
	})
}

// wanted is what a file says: fleet.toml, or what config get --json printed.
func wanted(file string) (map[string]map[string]json.RawMessage, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if strings.HasSuffix(file, ".json") {
		var o cluster.Objects
		dec := json.NewDecoder(bytes.NewReader(text))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&o); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		for kind := range o.Objects {
			if !slices.Contains(gatewayconfig.ClusterFileKinds, kind) && kind != "member" && kind != "lost" {
				return nil, fmt.Errorf("%s: objects.%s: is no kind of this program", file, kind)
			}
		}
		return o.Objects, nil
	}
	f, err := gatewayconfig.ParseClusterFile(file, text)
	if err != nil {
		return nil, err
	}
	doc, err := os.ReadFile(beside(file, f.Description))
	if err != nil {
		return nil, fmt.Errorf("%s: description: %w", file, err)
	}
	// Its places are told before anything is asked of the cluster.
	var classes []clusterconfig.Class
	for _, name := range slices.Sorted(maps.Keys(f.Objects["class"])) {
		var k clusterconfig.Class
		if err := json.Unmarshal(f.Objects["class"][name], &k); err != nil {
			return nil, err
		}
		k.Name = name
		classes = append(classes, k)
	}
	most := 50
	var l clusterconfig.Limit
	if text, ok := f.Objects["limit"]["units"]; ok && json.Unmarshal(text, &l) == nil {
		most = l.Max
	}
	if err := cluster.ValidateDescription(beside(file, f.Description), string(doc), classes, most); err != nil {
		return nil, err
	}
	value, err := json.Marshal(clusterconfig.Description{File: f.Description, Text: string(doc)})
	f.Objects["description"] = map[string]json.RawMessage{"booking": value}
	return f.Objects, err
}

// changes are what makes what is agreed into what is wanted. Members are left alone.
func changes(agreed cluster.Objects, want map[string]map[string]json.RawMessage) (cs []clusterconfig.Change, lines []string) {
	for _, kind := range gatewayconfig.ClusterFileKinds {
		have := agreed.Objects[kind]
		for _, name := range slices.Sorted(maps.Keys(want[kind])) {
			before, ok := have[name]
			if ok && sameJSON(before, want[kind][name]) {
				continue
			}
			cs = append(cs, clusterconfig.Change{Op: "put", Kind: kind, Name: name, Value: want[kind][name]})
			if !ok {
				lines = append(lines, fmt.Sprintf("+ %s %s %s", kind, name, short(want[kind][name])))
			} else {
				lines = append(lines, fmt.Sprintf("- %s %s %s", kind, name, short(before)), fmt.Sprintf("+ %s %s %s", kind, name, short(want[kind][name])))
			}
		}
		for _, name := range slices.Sorted(maps.Keys(have)) {
			if _, ok := want[kind][name]; !ok {
				cs = append(cs, clusterconfig.Change{Op: "remove", Kind: kind, Name: name})
				lines = append(lines, fmt.Sprintf("- %s %s %s", kind, name, short(have[name])))
			}
		}
	}
	return cs, lines
}

// sameJSON tells whether two values say the same, whatever their spaces and order.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	p, err := json.Marshal(x)
	q, err2 := json.Marshal(y)
	return err == nil && err2 == nil && bytes.Equal(p, q)
}

type diffCmd struct {
	File string `arg:"" help:"The file." type:"path"`
}

func (c *diffCmd) Run(e *env, cc *configCmd) error {
	want, err := wanted(c.File)
	if err != nil {
		return usage{err}
	}
	return cc.ask(e, func(ctx context.Context, cl *cluster.Client) error {
		o, err := cl.Objects(ctx, false)
		if err != nil {
			return err
		}
		cs, lines := changes(o, want)
		if cc.JSON {
			err = printJSON(e.stdout, map[string]any{"version": o.Version, "changes": cs})
		} else {
			fmt.Fprintf(e.stdout, "against version %d: %d changes\n", o.Version, len(cs))
			for _, l := range lines {
				fmt.Fprintln(e.stdout, l)
			}
		}
		if err == nil && len(cs) > 0 {
			err = errDiffers
		}
		return err
	})
}

type applyCmd struct {
	File  string `arg:"" help:"The file: all that is to be agreed on. What it lacks is removed; members stay." type:"path"`
	Why   string `help:"Why, for the history."`
	ID    string `help:"Id of the request: one that is asked for again takes place once."`
	Check bool   `help:"Only tell whether it would be taken."`
	Wait  string `help:"What to wait for: 'agreed', 'applied-everywhere' (at members and followers) or 'all-but-N', which leaves out up to N followers." default:"agreed"`
}

// but is how many followers need not have the version; -1: nothing is waited for.
func (c *applyCmd) but() (n int, err error) {
	if c.Wait == "agreed" {
		return -1, nil
	}
	if c.Wait == "applied-everywhere" {
		return 0, nil
	}
	text, ok := strings.CutPrefix(c.Wait, "all-but-")
	if n, err = strconv.Atoi(text); !ok || err != nil || n < 0 {
		return 0, fmt.Errorf("--wait: %q is unknown: agreed, applied-everywhere or all-but-N is wanted", c.Wait)
	}
	return n, nil
}

func (c *applyCmd) Run(e *env, cc *configCmd) error {
	but, err := c.but()
	if err != nil {
		return usage{err}
	}
	want, err := wanted(c.File)
	if err != nil {
		return usage{err}
	}
	return cc.ask(e, func(ctx context.Context, cl *cluster.Client) error {
		o, err := cl.Objects(ctx, false)
		if err != nil {
			return err
		}
		cs, _ := changes(o, want)
		out := clusterconfig.Outcome{Version: o.Version, IsApplied: true}
		if len(cs) > 0 {
			p := &clusterconfig.Proposal{ID: c.ID, BaseVersion: &o.Version, Reason: c.Why, Changes: cs}
			if p.ID == "" {
				p.ID = rand.Text()
			}
			if c.Check {
				out, err = cl.Check(ctx, p)
			} else {
				out, err = cl.Propose(ctx, p)
			}
			if err != nil {
				return err
			}
		}
		if but >= 0 && !c.Check {
			if err := cl.AwaitInstalled(ctx, out.Version, but); err != nil {
				return err
			}
		}
		if cc.JSON {
			return printJSON(e.stdout, out)
		}
		switch {
		case len(cs) == 0:
			fmt.Fprintf(e.stdout, "version %d says so already\n", out.Version)
		case c.Check:
			fmt.Fprintf(e.stdout, "%d changes would be taken on version %d\n", len(cs), out.Version)
		default:
			fmt.Fprintf(e.stdout, "version %d: %d changes\n", out.Version, len(cs))
		}
		return nil
	})
}

type membersCmd struct {
	Add      addMemberCmd      `cmd:"" help:"Add a member; it votes once it has caught up. It must run, see gateway init --join. Example: gateway config members add 4 --raft 10.0.0.4:7101 --admin 10.0.0.4:7201"`
	Replace  replaceMemberCmd  `cmd:"" help:"Put a new member in the place of one, in one step: of one that is dead, say."`
	Remove   removeMemberCmd   `cmd:"" help:"Remove a member. Its number is never used again."`
	Transfer transferMemberCmd `cmd:"" help:"Have a member lead."`
}

type addMemberCmd struct {
	Member uint64 `arg:"" help:"Its number."`
	Raft   string `help:"Address for the other members." required:""`
	Admin  string `help:"Address for operators." required:""`
}

type replaceMemberCmd struct {
	Member uint64 `arg:"" help:"Number of the one that goes."`
	With   uint64 `help:"Number of the one that comes." required:""`
	Raft   string `help:"Its address for the other members." required:""`
	Admin  string `help:"Its address for operators." required:""`
}

type removeMemberCmd struct {
	Member uint64 `arg:"" help:"Its number."`
}

type transferMemberCmd struct {
	Member uint64 `arg:"" help:"Its number."`
}

func (c *addMemberCmd) Run(e *env, cc *configCmd) error {
	return cc.change(e, &cluster.MembershipChange{Op: "add", MemberID: c.Member, Addrs: &clusterconfig.Member{RaftAddress: c.Raft, AdminAddress: c.Admin}})
}

func (c *replaceMemberCmd) Run(e *env, cc *configCmd) error {
	return cc.change(e, &cluster.MembershipChange{Op: "replace", MemberID: c.Member, ReplacementID: c.With, Addrs: &clusterconfig.Member{RaftAddress: c.Raft, AdminAddress: c.Admin}})
}

func (c *removeMemberCmd) Run(e *env, cc *configCmd) error {
	return cc.change(e, &cluster.MembershipChange{Op: "remove", MemberID: c.Member})
}

func (c *transferMemberCmd) Run(e *env, cc *configCmd) error {
	return cc.change(e, &cluster.MembershipChange{Op: "transfer", MemberID: c.Member})
}

func (c *configCmd) change(e *env, m *cluster.MembershipChange) error {
	return c.ask(e, func(ctx context.Context, cl *cluster.Client) error {
		s, err := cl.ChangeMembers(ctx, m)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(e.stdout, s)
		}
		fmt.Fprintf(e.stdout, "voters %v, learners %v, leader %d\n", s.Voters, s.Learners, s.Leader)
		return nil
	})
}

type statusCmd struct{}

func (c *statusCmd) Run(e *env, cc *configCmd) error {
	return cc.ask(e, func(ctx context.Context, cl *cluster.Client) error {
		all, failed, err := cl.AllStatuses(ctx)
		if err != nil {
			return err
		}
		if cc.JSON {
			errs := map[uint64]string{}
			for id, err := range failed {
				errs[id] = err.Error()
			}
			return printJSON(e.stdout, map[string]any{"members": all, "failed": errs})
		}
		w := tabwriter.NewWriter(e.stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "member\tleader\tversion\tin force\tconfirmed\tserves\thalls\tnote")
		for _, id := range slices.Sorted(maps.Keys(all)) {
			s := all[id]
			age := "not since its start"
			if s.ConfirmedAgeMs >= 0 {
				age = fmt.Sprintf("%.1f s ago", float64(s.ConfirmedAgeMs)/1000)
			}
			var halls []string
			for _, name := range slices.Sorted(maps.Keys(s.SiteStates)) {
				halls = append(halls, name+" "+s.SiteStates[name])
			}
			fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%s\t%v\t%s\t%s\n", id, s.Leader, s.Version, s.InstalledVersion, age, s.IsServing, strings.Join(halls, ", "), s.InstallError)
		}
		for _, id := range slices.Sorted(maps.Keys(failed)) {
			fmt.Fprintf(w, "%d\tdoes not answer: %v\n", id, failed[id])
		}
		return w.Flush()
	})
}
