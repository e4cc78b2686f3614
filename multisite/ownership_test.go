package multisite

import "testing"

// A part of its keys takes that share of a site's keys; a larger one takes the same and more; no key moves between
// other sites.
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
				t.Fatalf("%d eighths: key %d went from %s to %s (without the site %s, with it %s)",
					eighths, i, before[i], now[i], without[i], with[i])
			}
			if now[i] == "a" {
				count++
			}
		}
		if want := keyCount / 3 * eighths / fullKeyEighths; count < want*9/10 || count > want*11/10 {
			t.Errorf("%d eighths: %d keys of about %d", eighths, count, want)
		}
		before = now
	}
}

// Where no site takes a key in its part, each key still has an owner.
func TestOwnerWithoutTakers(t *testing.T) {
	epoch := OwnershipEpoch{Sites: []Site{{"a", true, 1}, {"b", true, 1}}}
	for key := range uint64(1000) {
		if epoch.owner(key) == "" {
			t.Fatalf("key %d has no owner", key)
		}
	}
}
