package gateway

import (
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/multisite"
)

// The number of a key, which determines the key's owner, depends neither on the body nor on the trace ID. Different
// keys have different numbers.
func TestKeyOwnerDependsOnKeyAlone(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s1")
	g := startInstance(t, h, 1, func(c *Config) {
		c.Keys = &multisite.KeyConfig{InstanceID: 1, Incarnation: 1, LeaseTTL: time.Second, KeyTTL: time.Second,
			DeduplicationWindow: time.Second, MaxKeys: 10}
	})
	server := &clientServer{instance: g.Instance}
	number := func(body string, fields ...string) uint64 {
		t.Helper()
		var r pendingRequest
		if err := httpwire.NewReader(strings.NewReader(postRequest("POST /visits", body,
			fields...))).ReadRequest(&r.requestHead); err != nil {
			t.Fatal(err)
		}
		r.body = []byte(body)
		if _, err := server.parse(&r, time.Now()); err != nil || !r.hasKeyOwner {
			t.Fatalf("parse: error %v, hasKeyOwner %v; want no error, true", err, r.hasKeyOwner)
		}
		return r.key
	}
	first := number(`{"installers": 1}`, "Idempotency-Key: k1")
	if number(`{"installers": 2}`, "Idempotency-Key: k1", "X-Trace-Id: other") != first {
		t.Error("the key number changes with the body or the trace ID")
	}
	if number(`{"installers": 1}`, "Idempotency-Key: k2") == first {
		t.Error("two different keys have the same number")
	}
}
