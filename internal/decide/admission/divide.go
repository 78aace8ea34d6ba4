package admission

// evenFraction is the fraction of a team's limits that is divided evenly whatever
// the demand, so that a host with new demand can serve some of it at once.
const evenFraction = 0.20

// Divide divides a team's limits between zones or hosts. Each demand is the
// fraction of the limits that one of them could use; it may exceed 1. The result
// has the same order and adds up to 1. If all demand fits, it is met and the
// remainder is divided evenly; otherwise demand is scaled down in proportion.
func Divide(demands []float64) []float64 {
	allotments := make([]float64, len(demands))
	if len(demands) == 0 {
		return allotments
	}
	total := 0.0
	for _, demand := range demands {
		total += max(0, demand)
	}
	count := float64(len(demands))
	available := 1 - evenFraction
	for i, demand := range demands {
		demand = max(0, demand)
		allotments[i] = evenFraction / count
		if total <= available {
			allotments[i] += demand + (available-total)/count
		} else {
			allotments[i] += available * demand / total
		}
	}
	return allotments
}
