// Package load reads the load reports of app servers.
package loadreport

import (
	"strconv"
	"strings"

	"mulleinmux/policy"
)

// Most that a figure of a load report can be: reports are noisy, but a core can't be
// busy several times over, nor can a server hold more than it has connections.
const (
	mostUtil  = 2
	mostCount = 1e5
)

// Parse parses a load report such as "TEXT inflight=7, queue=2, util=0.61".
// Unknown names and figures that can't be are skipped; nil means that there is no
// report in the text.
func Parse(text string) *policy.LoadReport {
	text, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT")
	if !ok {
		return nil
	}
	l := policy.LoadReport{InFlight: -1, QueueLength: -1, Utilization: -1}
	for _, pair := range strings.Split(text, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, ok := ParseDecimal(val)
		if !ok {
			continue
		}
		switch {
		case x > mostCount:
		case name == "inflight" || name == "outstanding":
			l.InFlight = x
		case name == "queue" || name == "backlog":
			l.QueueLength = x
		case (name == "util" || name == "utilization") && x <= mostUtil:
			l.Utilization = x
		}
	}
	return &l
}

// ParseDecimal parses a plain decimal number from 0: no sign, exponent, hex or infinity.
func ParseDecimal(text string) (float64, bool) {
	if text == "" || len(text) > 20 || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	return x, err == nil
}
