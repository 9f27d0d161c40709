package dispatch

import "time"

// transfer is a copy of cached parts of a prompt that an engine makes from another one before it
// reads the rest of the prompt. The zero value is none.
type transfer struct {
	source *engine
	// tokens are copied instead of read.
	tokens int
	// duration is the predicted time by which the transfer delays the reading of the rest. It
	// includes the wait for earlier transfers of the source, as an engine makes its transfers one
	// after another.
	duration time.Duration
	// end is when it is predicted to be complete.
	end time.Time
}

// transferState is an engine's part in the transfers that are in progress.
type transferState struct {
	// sending and receiving count the transfers from and to the engine whose requests have
	// neither begun nor ended.
	sending, receiving int
	// transfersUntil is when the last of these is predicted to be complete; zero if there are
	// none.
	transfersUntil time.Time
	// avoidedUntil is the time until which the engine is not used as a source, because requests
	// with transfers from it began far later than predicted. consecutiveLate lengthen it.
	avoidedUntil    time.Time
	consecutiveLate int
}

const (
	// copySetup is the time that the engines of docs/design/hard-load.md need to set up a transfer.
	copySetup = 8 * time.Millisecond
	// maxCopyFraction is the longest duration of a transfer, as a fraction of the time for
	// reading the same tokens. Transfers compete with others on the link, and one that fails is
	// followed by the reading, so a small gain does not pay.
	maxCopyFraction = 0.5
	// copyCost is the cost of a transfer to the other requests, as a fraction of the cost of
	// reading the same tokens: a transfer of 13,300 tokens costs between a quarter and a third of
	// their reading.
	copyCost = 0.3
	// maxTransfers bounds the transfers in progress from one engine, and those to one engine. A
	// transfer of 13,300 tokens takes 30 ms, so that four in a row take as long as reading them.
	maxTransfers = 3
	// minLateness is how far the first event after a transfer may exceed its predicted time
	// before the source is avoided; it is more than the usual variation of a first event.
	minLateness = 50 * time.Millisecond
	// minAvoidance is the time for which a late source is avoided. It doubles with each
	// consecutive late transfer, up to maxAvoidance.
	minAvoidance = time.Second
	maxAvoidance = 8 * time.Second
)

// copyTime returns the time of a transfer, not counting the wait for others. ok is false if it
// can not be predicted.
func (p *Pool) copyTime(tokens int) (duration time.Duration, ok bool) {
	engine := p.service.Engine
	if engine.TokenBytes <= 0 || engine.CopyRate <= 0 {
		return 0, false
	}
	bytes := float64(tokens) * float64(engine.TokenBytes)
	return copySetup + time.Duration(bytes/engine.CopyRate*float64(time.Second)), true
}

// maxTransfersHere returns the bound on the transfers from or to one engine that this pool may
// have in progress. A router that decides without the dispatcher shares the engines with others
// that do the same.
func (p *Pool) maxTransfersHere() int { return max(1, maxTransfers/max(1, p.Routers)) }

// planTransfer returns the transfer with which an engine can obtain most of the missing shared
// tokens of a prompt, from an engine of the same release. There is none if reading them is
// predicted to take hardly longer.
func (p *Pool) planTransfer(e *engine, req *Request, missing int, now time.Time) (best transfer) {
	if !p.Rules.Fetch || missing == 0 || e.receiving >= p.maxTransfersHere() {
		return best
	}
	if duration, ok := p.copyTime(missing); !ok || !e.isCopyFaster(missing, duration) {
		return best
	}
	cached := sharedTokens(&req.Prompt) - missing
	for _, source := range p.findSources(req, now) {
		if source.engine == e || source.engine.Release != e.Release || source.tokens <= cached {
			continue
		}
		t := p.transferFrom(source.engine, e, source.tokens-cached, now)
		if e.isCopyFaster(t.tokens, t.duration) && t.isBetterThan(&best, e.Zone) {
			best = t
		}
	}
	return best
}

// transferFrom returns the transfer of tokens from one engine to another if it was granted now.
func (p *Pool) transferFrom(source, target *engine, tokens int, now time.Time) transfer {
	from := later(now, target.transfersUntil)
	duration, _ := p.copyTime(tokens)
	end := later(from, source.transfersUntil).Add(duration)
	return transfer{source: source, tokens: tokens, duration: end.Sub(from), end: end}
}

// isCopyFaster reports whether a transfer is clearly faster than reading the same tokens here.
func (e *engine) isCopyFaster(tokens int, duration time.Duration) bool {
	return duration <= fraction(e.readTime(tokens), maxCopyFraction)
}

// isBetterThan reports whether the transfer is preferable to another one for an engine in a
// zone: it copies more, or else it stays in the zone, or else it ends earlier.
func (t *transfer) isBetterThan(other *transfer, zone string) bool {
	switch {
	case other.source == nil || t.tokens != other.tokens:
		return other.source == nil || t.tokens > other.tokens
	case (t.source.Zone == zone) != (other.source.Zone == zone):
		return t.source.Zone == zone
	default:
		return t.end.Before(other.end)
	}
}

// startTransfer records that a grant makes a transfer instead of reading the parts.
func (p *Pool) startTransfer(g *grant, t transfer, now time.Time) {
	if t.source == nil {
		return
	}
	g.transfer = t
	g.tokens -= t.tokens
	p.read.add(-float64(t.tokens), now, p.Rules.Window)
	t.source.sending++
	g.engine.receiving++
	t.source.transfersUntil, g.engine.transfersUntil = t.end, t.end
	p.transfers.Started++
	p.transfers.Tokens += t.tokens
}

// endTransfer records that the request of a transfer has begun or ended: its source is no longer
// in use for it.
func (p *Pool) endTransfer(g *grant) {
	if g.transfer.source == nil || g.transferEnded {
		return
	}
	g.transferEnded = true
	g.transfer.source.sending--
	g.engine.receiving--
	g.transfer.source.resetIdleTransfers()
	g.engine.resetIdleTransfers()
}

// judgeSource evaluates a transfer whose request begins, or is given up by its caller. If this is
// far later than predicted, the engine is likely to have read the parts itself, and the source is
// avoided.
func (p *Pool) judgeSource(g *grant, begins bool, now time.Time) {
	source := g.transfer.source
	switch {
	case source == nil || g.transferEnded:
	case g.engine.isLate(g, now):
		p.transfers.Late++
		source.avoidedUntil = now.Add(min(minAvoidance<<min(source.consecutiveLate, 8), maxAvoidance))
		source.consecutiveLate++
	case begins:
		source.consecutiveLate = 0
	}
}

func (s *transferState) resetIdleTransfers() {
	if s.sending+s.receiving == 0 {
		s.transfersUntil = time.Time{}
	}
}

// isLate reports whether the first event of a request with a transfer comes now or later, and
// this is so late that the transfer is likely to have failed. It is called before the engine's
// readingSince is updated.
func (e *engine) isLate(g *grant, now time.Time) bool {
	predicted := e.prefillTime(g) + e.lag
	margin := max(minLateness, e.readTime(g.transfer.tokens)/2)
	return now.Sub(later(e.readingSince, g.at)) > predicted+margin
}

// prefillTime returns the predicted time for obtaining and reading a granted prompt.
func (e *engine) prefillTime(g *grant) time.Duration {
	return g.transfer.duration + e.readTime(g.tokens)
}

// fallbackTime returns the time for reading the parts that a grant was to copy, which the engine
// needs if the transfer fails.
func (e *engine) fallbackTime(g *grant) time.Duration { return e.readTime(g.transfer.tokens) }

// TransferCounts counts transfers of cached parts between engines.
type TransferCounts struct {
	// Started were granted, of Tokens in total. After Late ones the first event came so late
	// that the engine is likely to have read the parts itself.
	Started, Tokens, Late int
}

// TakeTransferCounts returns the counts since it was last called.
func (p *Pool) TakeTransferCounts() TransferCounts {
	counts := p.transfers
	p.transfers = TransferCounts{}
	return counts
}

// relativeCopyCost returns the cost of a copy of a shared part at one more engine, relative to
// reading it there.
func (p *Pool) relativeCopyCost() float64 {
	if p.Rules.Fetch {
		return min(copyCost, p.Rules.CopyCost)
	}
	return p.Rules.CopyCost
}
