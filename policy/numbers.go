package policy

// boolToInt is 1 for true, so that conditions can be counted.
func boolToInt(b bool) int { return int(boolToFloat(b)) }

// boolToFloat is boolToInt for floating-point sums.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
