package gateway

import (
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/multisite"
)

// A key's home is the key's: the same with another body, another target's query or at another try; another licensee's
// key of that name is another.
func TestKeyOwnerDependsOnKeyAlone(t *testing.T) {
	h := newTestSites(t)
	h.startServer("hall-a", "s1")
	r := startInstance(t, h, 1, func(c *Config) {
		c.Keys = &multisite.KeyConfig{InstanceID: 1, Incarnation: 1, LeaseTTL: time.Second, KeyTTL: time.Second,
			DeduplicationWindow: time.Second, MaxKeys: 10}
	})
	server := &clientServer{instance: r.Instance}
	number := func(body string, fields ...string) uint64 {
		t.Helper()
		var fl pendingRequest
		if err := httpwire.NewReader(strings.NewReader(postRequest("POST /visits", body,
			fields...))).Request(&fl.requestHead); err != nil {
			t.Fatal(err)
		}
		fl.body = []byte(body)
		if _, err := server.parse(&fl, time.Now()); err != nil || !fl.hasKeyOwner {
			t.Fatalf("%v, homed %v", err, fl.hasKeyOwner)
		}
		return fl.key
	}
	first := number(`{"installers": 1}`, "Idempotency-Key: k1")
	if number(`{"installers": 2}`, "Idempotency-Key: k1", "X-Trace-Id: other") != first {
		t.Error("another body moves the key")
	}
	if number(`{"installers": 1}`, "Idempotency-Key: k2") == first {
		t.Error("two keys are one")
	}
}
