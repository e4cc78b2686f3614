package cluster

import "testing"

// A wait that times out reports the result of the last complete check.
func TestAwaitReason(t *testing.T) {
	type checkResult struct {
		missing     string
		wasCanceled bool
	}
	for _, test := range []struct {
		name    string
		results []checkResult
		want    string
	}{
		{"the last answer", []checkResult{{"member 1", false}, {"follower a", false}}, "follower a"},
		{"the last one cut off", []checkResult{{"follower a", false}, {"deadline exceeded", true}}, "follower a"},
		{"the only one cut off", []checkResult{{"deadline exceeded", true}}, "deadline exceeded"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var reason awaitReason
			for _, result := range test.results {
				reason.record(result.missing, result.wasCanceled)
			}
			if reason.text != test.want {
				t.Errorf("got reason %q, want %q", reason.text, test.want)
			}
		})
	}
}
