package admission

// evenPart of a team's limits is divided evenly whatever the demand, so that a
// host where demand begins can serve some of it at once.
const evenPart = 0.20

// Divide divides a team's limits over zones or hosts. Each demand is the part
// of the limits that one could use; it may exceed 1. The result is in the same
// order and adds up to 1: demand is met if it fits, with the rest lent evenly,
// and shrinks in proportion otherwise.
func Divide(demands []float64) []float64 {
	parts := make([]float64, len(demands))
	if len(demands) == 0 {
		return parts
	}
	total := 0.0
	for _, demand := range demands {
		total += max(0, demand)
	}
	count := float64(len(demands))
	available := 1 - evenPart
	for i, demand := range demands {
		demand = max(0, demand)
		parts[i] = evenPart / count
		if total <= available {
			parts[i] += demand + (available-total)/count
		} else {
			parts[i] += available * demand / total
		}
	}
	return parts
}
