package gateway

import (
	"strconv"
	"testing"
)

// The units of requests of all classes are taken from the licensee's single quota.
func TestQuota(t *testing.T) {
	h, g, c := startWithServer(t)
	small := "X-Licensee: small"
	c.send(getRequest("DELETE /visits/1", small)) // 2 of 3 units
	h.nextRequest().response <- responseText(204, "", "")[:len("HTTP/1.1 204 Status\r\n")] + "\r\n"
	if r := c.readResponse(); r.Status != 204 {
		t.Errorf("first request: got %+v, want status 204", r)
	}
	r := c.roundTrip(getRequest("GET /slots?days=2", small))
	if s, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); r.Status != 429 || err != nil || s <= 0 {
		t.Errorf("request over the quota: got %+v, want status 429 with a positive Retry-After", r)
	}
	c.send(getRequest("GET /visits/1", small))
	h.nextRequest().response <- responseText(200, "", "")
	if r := c.readResponse(); r.Status != 200 {
		t.Errorf("request for the last unit: got %+v, want status 200", r)
	}
	if units, sent, answers := g.totals(); units != 3 || sent != 2 || answers != 3 {
		t.Errorf("counters: got %d units, %d sent, %d answers; want 3, 2, 3", units, sent, answers)
	}
}
