package raftnode

// injectFaults injects at most one random fault, or restores all cut links.
func (c *simCluster) injectFaults() {
	if c.faultsEnded {
		return
	}
	switch x := c.rng.Float64(); {
	case x < 0.01:
		c.killRandomMember()
	case x < 0.02:
		c.cutRandomLink()
	case x < 0.025:
		c.isolate(c.randomMember())
	case x < 0.04:
		clear(c.cutLinks)
	case x < 0.045:
		c.failRandomSync()
	}
}

func (c *simCluster) randomMember() *simMember {
	return c.members[c.rng.IntN(len(c.members))]
}

// killRandomMember kills a random member, with a preference for the leader.
func (c *simCluster) killRandomMember() {
	victim := c.randomMember()
	for _, m := range c.members {
		if m.core != nil && m.core.Leader() == m.id && c.rng.Float64() < 0.6 {
			victim = m
		}
	}
	if victim.core != nil {
		c.kill(victim)
	}
}

// cutRandomLink cuts the link between two random members in one or both directions.
func (c *simCluster) cutRandomLink() {
	a := c.randomMember().id
	b := c.randomMember().id
	c.cutLinks[link{a, b}] = true
	if c.rng.Float64() < 0.5 {
		c.cutLinks[link{b, a}] = true
	}
}

// failRandomSync makes one of the next three fsyncs of a random member fail.
func (c *simCluster) failRandomSync() {
	m := c.randomMember()
	remaining := 1 + c.rng.IntN(3)
	m.storage.failsSync = func() bool {
		remaining--
		return remaining == 0
	}
}

// isolate cuts all links of a member in both directions.
func (c *simCluster) isolate(m *simMember) {
	for _, other := range c.members {
		c.cutLinks[link{m.id, other.id}] = true
		c.cutLinks[link{other.id, m.id}] = true
	}
}

// reconnect restores all links of a member.
func (c *simCluster) reconnect(m *simMember) {
	for _, other := range c.members {
		delete(c.cutLinks, link{m.id, other.id})
		delete(c.cutLinks, link{other.id, m.id})
	}
}

// endFaults ends all faults. All members are running after the next tick.
func (c *simCluster) endFaults() {
	c.faultsEnded = true
	clear(c.cutLinks)
	for _, m := range c.members {
		m.storage.failsSync = nil
		if m.core == nil {
			m.restartTick = c.tick
		}
	}
}
