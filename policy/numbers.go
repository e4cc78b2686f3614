package policy

// boolToInt returns 1 for true, to count conditions.
func boolToInt(b bool) int { return int(boolToFloat(b)) }

// boolToFloat is boolToInt for floating-point sums.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
