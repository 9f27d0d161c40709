package placement

// Plan decides how many homes a part gets.
type Plan struct {
	// Min is the number of homes regardless of demand, counted in engines of average rate: slow
	// homes are more. Otherwise a prompt whose two homes are both slow would find no engine that
	// reads it soon.
	Min int
	// LoadPerHome is the fraction of the time of an average engine that the requests for a part
	// may take before the part gets one more home.
	LoadPerHome float64
	// CopyCost is the cost of a copy at a further home, relative to reading the part there; 0
	// stands for 1. The demand that justifies a home grows with it.
	CopyCost float64
}

// Suffices reports whether a part with a load, in engines of average rate, needs no further home
// beside its first ones. weight is the sum of their weights: fast homes serve more demand.
func (p Plan) Suffices(homes int, weight, load float64) bool {
	if homes < p.Min || weight < float64(p.Min) {
		return false
	}
	perHome := p.LoadPerHome
	if p.CopyCost > 0 {
		perHome *= p.CopyCost
	}
	return load < perHome*(weight-float64(p.Min-1))
}
