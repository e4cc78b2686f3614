package policy

func boolToInt(b bool) int { return int(boolToFloat(b)) }

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
