package dispatch

import "time"

// warmPeriod is how long Pool.Warm has effect: parts unused for longer have been evicted.
const warmPeriod = 30 * time.Second

// assumeCached adds the shared parts of a prompt to the prefix cache of its first home, if the
// pool is warm and the engine has not reported its cache.
func (p *Pool) assumeCached(stats *partStats, prompt *Prompt, now time.Time) {
	if p.warmUntil.IsZero() {
		p.warmUntil = now.Add(warmPeriod)
	}
	if !p.Warm || now.After(p.warmUntil) || len(stats.ranked) == 0 {
		return
	}
	if stats.ranked[0].hasCacheReport {
		return
	}
	for _, shared := range prompt.Shared() {
		stats.ranked[0].addCachedOldest(shared, true)
	}
}

// CachedParts are parts in an engine's prefix cache, the most recently used first.
type CachedParts struct {
	Endpoint string
	// Born identifies the instance of the engine; 0 means unknown.
	Born  int64
	Parts []Part
	// Rate is the measured rate at which the engine reads prompts, in tokens per second; 0 means
	// unknown.
	Rate float64
}

// maxCachedParts bounds the parts reported for one engine. An engine's cache holds fewer long
// parts than that.
const maxCachedParts = 128

// CachedParts returns the estimated contents of the engines' prefix caches and their rates, for a
// new dispatcher. Short parts are left out.
func (p *Pool) CachedParts() (all []CachedParts) {
	for _, e := range p.reportedEngines() {
		cached := CachedParts{Endpoint: e.ID, Born: e.Born, Rate: e.rating.Rate()}
		for elem := e.cache.Front(); elem != nil && len(cached.Parts) < maxCachedParts; elem = elem.Next() {
			part := elem.Value.(cachedPart)
			// The next dispatcher takes what is reported as the source of transfers. What is being
			// read is reported with the running requests.
			if part.Tokens >= maxShortShared && (part.read || !p.Rules.Fetch) {
				cached.Parts = append(cached.Parts, part.Part)
			}
		}
		if len(cached.Parts) > 0 || cached.Rate > 0 {
			all = append(all, cached)
		}
	}
	return all
}

// AddCachedParts adds another router's estimate of an engine's prefix cache, and of its rate.
func (p *Pool) AddCachedParts(cached CachedParts, now time.Time) {
	leaving := p.leavingInstance(cached.Endpoint, cached.Born)
	if leaving != nil {
		p.addReportedParts(leaving, cached.Parts)
		return
	}
	e := p.engineOfInstance(cached.Endpoint, cached.Born, now)
	if e == nil {
		return
	}
	if cached.Rate > 0 {
		e.rating.AddReport(cached.Rate)
		p.weighedAt = time.Time{}
	}
	p.addReportedParts(e, cached.Parts)
	for _, part := range cached.Parts {
		p.recordCachedPart(part, e, now)
	}
}

// ApplyCacheReport replaces assumed cache contents of an engine by those that the engine itself
// reported.
func (p *Pool) ApplyCacheReport(report CachedParts, now time.Time) {
	e := p.engineOfInstance(report.Endpoint, report.Born, now)
	if e == nil {
		return
	}
	e.applyCacheReport(report.Parts)
	for _, part := range report.Parts {
		p.recordSource(part, e)
		p.recordCachedPart(part, e, now)
	}
}

// addReportedParts adds parts that were reported to an engine's estimated cache.
func (p *Pool) addReportedParts(e *engine, parts []Part) {
	for _, part := range parts {
		e.addCachedOldest(part, false)
		p.recordSource(part, e)
	}
}
