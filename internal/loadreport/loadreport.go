// Package loadreport parses the load reports of app servers.
package loadreport

import (
	"strconv"
	"strings"

	"mulleinmux/policy"
)

// Maximum values in a load report. Reports are noisy, but a core can't be utilized several times over, and a server
// can't hold more requests than it has connections.
const (
	maxUtilization = 2
	maxCount       = 1e5
)

// Prefix and names of a load report. Each value has an alias.
const (
	reportPrefix = "TEXT"

	nameInFlight    = "inflight"
	nameQueueLength = "queue"
	nameUtilization = "util"

	aliasInFlight    = "outstanding"
	aliasQueueLength = "backlog"
	aliasUtilization = "utilization"
)

// Parse parses a load report such as "TEXT inflight=7, queue=2, util=0.61". Unknown names and values out of range are
// skipped. It returns nil if the text is not a load report.
func Parse(text string) *policy.LoadReport {
	text, ok := strings.CutPrefix(strings.TrimSpace(text), reportPrefix)
	if !ok {
		return nil
	}
	report := policy.LoadReport{InFlight: -1, QueueLength: -1, Utilization: -1}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, ok := ParseDecimal(value)
		if !ok {
			continue
		}
		switch {
		case x > maxCount:
		case name == nameInFlight || name == aliasInFlight:
			report.InFlight = x
		case name == nameQueueLength || name == aliasQueueLength:
			report.QueueLength = x
		case (name == nameUtilization || name == aliasUtilization) && x <= maxUtilization:
			report.Utilization = x
		}
	}
	return &report
}

// maxDecimalLength is the maximum length of a number in bytes.
const maxDecimalLength = 20

// ParseDecimal parses a plain non-negative decimal number: no sign, exponent, hexadecimal or infinity.
func ParseDecimal(text string) (float64, bool) {
	if text == "" || len(text) > maxDecimalLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	return x, err == nil
}
