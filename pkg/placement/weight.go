package placement

import (
	"cmp"
	"math"
	"slices"
)

// deadBand is the ratio to the median up to which rates are taken for equal, and the ratio
// between two neighbouring weights. It is six standard deviations of the rate of an engine with
// noise: see rateWindow.
const deadBand = 1.25

// maxStep bounds weights to between a seventh and seven times the usual one, so that a wrong
// measurement can neither take all homes from an engine nor give it nearly all.
const maxStep = 9

// Rating is the measured rate of an engine and the weight that follows from it.
type Rating struct {
	RateMeter
	// step is the logarithm of the weight to the base deadBand, relative to the median rate.
	step int
	// weight is relative to the mean of all weights; 0 stands for 1.
	weight float64
}

// Weight returns the engine's share of the homes, relative to the mean of all engines.
func (r *Rating) Weight() float64 {
	if r.weight == 0 {
		return 1
	}
	return r.weight
}

// UpdateWeights derives the weights of a pool's engines from their rates. Engines without
// measurements are taken for average. A weight moves only if the rate differs from it by more
// than the dead band, so that it does not move back and forth with noise. It reports whether any
// weight moved.
func UpdateWeights(ratings []*Rating) (changed bool) {
	rates := effectiveRates(ratings)
	if rates == nil {
		return false
	}
	middle := median(rates)
	for i, r := range ratings {
		exact := math.Log(rates[i]/middle) / math.Log(deadBand)
		if math.Abs(exact-float64(r.step)) > 1 {
			r.step = int(math.Round(min(max(exact, -maxStep), maxStep)))
		}
	}
	return setWeights(ratings)
}

// setWeights sets the weights from the steps, so that their mean is 1.
func setWeights(ratings []*Rating) (changed bool) {
	lowest := slices.MinFunc(ratings, func(a, b *Rating) int { return cmp.Compare(a.step, b.step) }).step
	total := 0.0
	for _, r := range ratings {
		total += math.Pow(deadBand, float64(r.step-lowest))
	}
	for _, r := range ratings {
		weight := math.Pow(deadBand, float64(r.step-lowest)) * float64(len(ratings)) / total
		changed = changed || weight != r.Weight()
		r.weight = weight
	}
	return changed
}

// IsUneven reports whether any two weights differ.
func IsUneven(ratings []*Rating) bool {
	return slices.ContainsFunc(ratings, func(r *Rating) bool { return r.step != ratings[0].step })
}

// effectiveRates returns the rates, with the mean for engines that were not measured; nil if none
// was.
func effectiveRates(ratings []*Rating) []float64 {
	mean, count := 0.0, 0
	for _, r := range ratings {
		if rate := r.Rate(); rate > 0 {
			mean += rate
			count++
		}
	}
	if count == 0 {
		return nil
	}
	mean /= float64(count)
	rates := make([]float64, len(ratings))
	for i, r := range ratings {
		rates[i] = r.rateWithPrior(mean)
	}
	return rates
}

// median returns the middle value, the lower one of two.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
