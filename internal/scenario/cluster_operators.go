package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gateway"
)

// configOperation is one operation of an operator: a change or a read of the configuration.
type configOperation struct {
	id               string
	called, returned time.Time
	version          uint64
	isApplied        bool
	isOutcomeKnown   bool // the operator received a result
}

// applyFirstConfig proposes the first configuration until it is applied.
func (c *clusterRun) applyFirstConfig(ctx context.Context, sites []gateway.Site) error {
	p := &clusterconfig.Proposal{ID: "begin", Reason: variantReason(1), Changes: c.firstChanges(sites)}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		o, err := c.operatorClients[0].Propose(ctx, p)
		if err == nil && !o.IsApplied {
			err = errors.New(o.RejectionReason)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("proposing the first configuration: %w", err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// firstChanges returns the changes from an empty configuration to the first one.
func (c *clusterRun) firstChanges(sites []gateway.Site) (changes []clusterconfig.Change) {
	put := func(kind, name string, object any) {
		changes = append(changes, clusterconfig.NewPutChange(kind, name, object))
	}
	for _, class := range classes() {
		put(clusterconfig.KindClass, class.Name, clusterconfig.Class{
			PriorityWeight:     class.PriorityWeight,
			LateFraction:       class.LateFraction,
			LatencyObjectiveMs: class.LatencyObjective.Milliseconds(),
			DeadlineMs:         class.Deadline.Milliseconds(),
		})
	}
	for _, plan := range settings(0).Plans {
		put(clusterconfig.KindPlan, plan.Name, clusterconfig.Plan{
			Rate:              plan.Rate,
			Burst:             plan.Burst,
			HardLimitRate:     plan.HardLimitRate,
			HardLimitBurst:    plan.HardLimitBurst,
			HardLimitSlack:    plan.HardLimitSlack,
			PriorityFactor:    plan.PriorityFactor,
			OverQuotaFraction: plan.OverQuotaFraction,
			OverQuotaCost:     plan.OverQuotaCost,
		})
	}
	for _, l := range allLicensees() {
		put(clusterconfig.KindLicensee, l.Name, clusterconfig.Licensee{Plan: l.Plan})
	}
	for _, m := range c.followers {
		put(clusterconfig.KindFollower, m.followerName, clusterconfig.Follower{})
	}
	for _, site := range sites {
		put(clusterconfig.KindSite, site.Name, clusterconfig.Site{DiscoveryAddress: site.Discovery.String()})
	}
	put(clusterconfig.KindDescription, "booking", descriptionObject(1))
	return changes
}

// descriptionObject returns variant n of the description as a configuration object.
func descriptionObject(n int) clusterconfig.Description {
	return clusterconfig.Description{File: "booking.yaml", Text: string(descriptionVariant(n, false))}
}

// variantReason returns the reason of a proposal with variant n of the description.
func variantReason(n int) string { return "variant " + strconv.Itoa(n) }

// variantOf returns the variant of the description that a change brings, or 0 if it brings none.
func variantOf(r clusterconfig.HistoryRecord) int {
	if text, ok := strings.CutPrefix(r.Reason, "variant "); ok {
		n, _ := strconv.Atoi(text)
		return n
	}
	return 0
}

// Operations of an operator, each for random numbers (0 to 1) below its bound and above the previous one. The remaining
// operations are changes with the base version that the operator has read.
const (
	readBound        = 0.1
	descriptionBound = 0.2 // three prices and a new class
	invalidBound     = 0.3 // must be rejected
	trialPlanBound   = 0.5 // adds a trial plan
	removalBound     = 0.6 // removes a trial plan
	planBound        = 0.8
)

// operatorTimeout is how long an operator waits for the result of one operation.
const operatorTimeout = 4 * time.Second

// runOperator runs one operator until ctx ends. At random times it reads the configuration or changes descriptions,
// plans and licensees. Some changes have a base version, some are invalid.
func (c *clusterRun) runOperator(ctx context.Context, operator int) {
	rng := rand.New(rand.NewPCG(c.environment.options.Seed, uint64(100+operator)))
	gap := operatorInterval
	if c.environment.scenario.hasSmallSites {
		gap *= 10
	}
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(gap))):
		}
		o := configOperation{id: fmt.Sprintf("op%d-%d", operator, n), called: time.Now()}
		callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
		err := c.runOperation(callCtx, operator, rng, &o)
		cancel()
		o.returned, o.isOutcomeKnown = time.Now(), err == nil
		c.mu.Lock()
		c.configOperations = append(c.configOperations, o)
		c.mu.Unlock()
	}
}

// runOperation reads, or proposes a random change, and records the result in o.
func (c *clusterRun) runOperation(ctx context.Context, operator int, rng *rand.Rand, o *configOperation) error {
	client := c.operatorClients[operator]
	draw := rng.Float64()
	if draw < readBound {
		objects, err := client.Objects(ctx, false)
		o.version = objects.Version
		return err
	}
	p := &clusterconfig.Proposal{ID: o.id}
	if draw < planBound {
		var change clusterconfig.Change
		change, p.Reason = randomChange(rng, draw)
		p.Changes = []clusterconfig.Change{change}
		return proposeUntilKnown(ctx, client, p, o)
	}
	objects, err := client.Objects(ctx, false)
	if err != nil {
		return err
	}
	p.BaseVersion = &objects.Version
	p.Changes = []clusterconfig.Change{clusterconfig.NewPutChange(clusterconfig.KindLicensee,
		fmt.Sprint("new-", operator), clusterconfig.Licensee{Plan: "kati"})}
	return proposeUntilKnown(ctx, client, p, o)
}

// randomChange returns the change for a random number below planBound, and its reason.
func randomChange(rng *rand.Rand, draw float64) (change clusterconfig.Change, reason string) {
	put := clusterconfig.NewPutChange
	switch {
	case draw < descriptionBound:
		n := 2 + rng.IntN(20)
		return put(clusterconfig.KindDescription, "booking", descriptionObject(n)), variantReason(n)
	case draw < invalidBound:
		return put(clusterconfig.KindLicensee, "bad", clusterconfig.Licensee{Plan: "none"}), ""
	case draw < trialPlanBound:
		trial := clusterconfig.Plan{Rate: 1, Burst: 5, PriorityFactor: 1}
		return put(clusterconfig.KindPlan, fmt.Sprint("trial-", rng.IntN(5)), trial), ""
	case draw < removalBound:
		name := fmt.Sprint("trial-", rng.IntN(5))
		return clusterconfig.Change{Op: clusterconfig.OpRemove, Kind: clusterconfig.KindPlan, Name: name}, ""
	default:
		burst := 20 + float64(rng.IntN(8))
		plan := clusterconfig.Plan{Rate: 6, Burst: burst, PriorityFactor: 0.88, OverQuotaFraction: 0.3}
		return put(clusterconfig.KindPlan, "msingi", plan), ""
	}
}

// proposeUntilKnown repeats a proposal until its outcome is known. The ID stays the same, so that it is applied only
// once.
func proposeUntilKnown(
	ctx context.Context,
	client *cluster.Client,
	p *clusterconfig.Proposal,
	o *configOperation,
) error {
	for {
		outcome, err := client.Propose(ctx, p)
		o.version, o.isApplied = outcome.Version, outcome.IsApplied
		answer, isAnswer := errors.AsType[*cluster.ResponseError](err)
		isConflict := isAnswer && answer.Status == http.StatusConflict
		if err == nil || isConflict || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// countApplied returns how many changes were reported to operators as applied, and when the last of them was.
func (c *clusterRun) countApplied() (n int, last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.configOperations {
		if o.isApplied {
			n++
			if o.returned.After(last) {
				last = o.returned
			}
		}
	}
	return n, last
}

// reportViolation records a violation that the scenario itself found.
func (c *clusterRun) reportViolation(format string, args ...any) {
	c.environment.mu.Lock()
	c.environment.scenarioViolations = append(c.environment.scenarioViolations, fmt.Sprintf(format, args...))
	c.environment.mu.Unlock()
}

// leader waits for a member that reports itself as the leader and returns it, or nil if ctx ends first.
func (c *clusterRun) leader(ctx context.Context) *clusterInstance {
	for ctx.Err() == nil {
		for _, m := range c.members {
			if s, err := c.status(ctx, m); err == nil && s.Leader == m.id {
				return m
			}
		}
		pause(ctx, 10*time.Millisecond)
	}
	return nil
}

// status returns a member's status.
func (c *clusterRun) status(ctx context.Context, m *clusterInstance) (cluster.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return c.operatorClients[0].StatusAt(ctx, m.admin)
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
