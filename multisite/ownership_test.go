package multisite

import "testing"

// A site that accepts some eighths of its keys owns that fraction of them. A larger fraction includes a smaller one,
// and no key moves between the other sites.
func TestOwnerWithPartsOfKeys(t *testing.T) {
	const keyCount = 30000
	owners := func(isOpen bool, keyEighths int) []string {
		epoch := OwnershipEpoch{Sites: append([]Site{{"a", isOpen, keyEighths}}, openSites("b", "c")...)}
		out := make([]string, keyCount)
		for i := range out {
			out[i] = epoch.owner(uint64(i) * keyMultiplier)
		}
		return out
	}
	without, with := owners(false, 0), owners(true, 0)
	before := without
	for eighths := 1; eighths <= fullKeyEighths; eighths++ {
		now := owners(true, eighths%fullKeyEighths)
		count := 0
		for i := range now {
			movedElsewhere := now[i] != before[i] && now[i] != "a"
			if movedElsewhere || now[i] != "a" && now[i] != without[i] || now[i] == "a" && with[i] != "a" {
				t.Fatalf("%d eighths: key %d moved from %s to %s (owner without site a %s, with all its keys %s)",
					eighths, i, before[i], now[i], without[i], with[i])
			}
			if now[i] == "a" {
				count++
			}
		}
		if want := keyCount / 3 * eighths / fullKeyEighths; count < want*9/10 || count > want*11/10 {
			t.Errorf("%d eighths: site a owns %d keys, want about %d", eighths, count, want)
		}
		before = now
	}
}

// A key has an owner even if it is in the part of no site.
func TestOwnerIfNoSiteAcceptsKey(t *testing.T) {
	epoch := OwnershipEpoch{Sites: []Site{{"a", true, 1}, {"b", true, 1}}}
	for key := range uint64(1000) {
		if epoch.owner(key) == "" {
			t.Fatalf("key %d has no owner", key)
		}
	}
}
