package multisite

import "testing"

// openSites returns sites of the given names that accept all of their keys.
func openSites(names ...string) (sites []Site) {
	for _, name := range names {
		sites = append(sites, Site{Name: name, IsOpen: true})
	}
	return sites
}

// newTestKeyTable returns the table of an instance with an epoch of two sites and the given instances in force since 0.
func newTestKeyTable(t *testing.T, id uint64, instances ...uint64) (*KeyTable, OwnershipEpoch) {
	t.Helper()
	k, err := NewKeyTable(KeyConfig{
		InstanceID:          id,
		Incarnation:         1,
		LeaseTTL:            testLeaseTTL,
		KeyTTL:              testKeyTTL,
		DeduplicationWindow: testDeduplicationWindow,
		MaxKeys:             100,
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	epoch := OwnershipEpoch{Number: 1, Sites: openSites("a", "b"), Instances: instances}
	k.InstallEpoch(0, epoch, true)
	return k, epoch
}
