package dispatch

import "time"

// pace is how fast an engine reads prompts, learnt from its first requests on.
type prefillEstimate struct {
	// rate is in prompt tokens a second, with the steps between pieces.
	rate float64
	// lag is the time from an idle engine's taking a request to its first token,
	// beside the reading: connection, steps, and the way back.
	lag time.Duration

	// samples is the number of times that the rate was measured, and lags that of
	// the lag.
	rateSamples, lagSamples int
	// read and busy are the tokens and the time of the current sample.
	sampleTokens float64
	sampleTime   time.Duration
}

const (
	// firstRate is believed of an engine before any engine of its pool was
	// measured. It is of the order of what current engines read.
	initialRate = 45000
	// firstLag is the same for the lag; 50 to 70 ms were measured.
	initialLag = 60 * time.Millisecond
	// earlySample is the busy time after which the rate is measured at first, and
	// rateSample the same once earlySamples were taken: several prompts long.
	minEarlySampleTime = 40 * time.Millisecond
	earlySamples       = 4
	minSampleTime      = 300 * time.Millisecond
	// paceGain is the least weight of a new sample; the first ones are averaged with
	// what was believed.
	minRateGain = 0.25
	// lagGain is the same for the lag, of which each request is a sample.
	minLagGain = 0.05
	// slowestRate and fastestRate bound what a sample may say, and longestLag what
	// one of the lag may.
	minRate = 4000
	maxRate = 400000
	maxLag  = 500 * time.Millisecond
)

func newPrefillEstimate() prefillEstimate { return prefillEstimate{rate: initialRate, lag: initialLag} }

// measured tells whether the rate is more than a belief.
func (p *prefillEstimate) isMeasured() bool { return p.rateSamples > 0 }

func (p *prefillEstimate) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.rate * float64(time.Second))
}

// noteBegin takes the time of the first token of a request that the engine could read
// from a time on. Queued ones were read right after the one before, so that the lag
// is in the times of both, and what lies between is reading. Of others, the time is
// put down to what is the larger part of it.
func (p *prefillEstimate) recordFirstToken(tokens int, from, now time.Time, queued bool) {
	took, reading := now.Sub(from), p.readTime(tokens)
	if queued || reading > p.lag {
		p.recordRead(tokens, took-p.lag)
		return
	}
	p.lagSamples++
	gain := max(minLagGain, 1/float64(p.lagSamples+1))
	sample := min(max(took-reading, 0), maxLag)
	p.lag += time.Duration(gain * float64(sample-p.lag))
}

// noteRead takes the time that reading took.
func (p *prefillEstimate) recordRead(tokens int, took time.Duration) {
	p.sampleTokens += float64(tokens)
	p.sampleTime += max(took, 0)
	enough := minSampleTime
	if p.rateSamples < earlySamples {
		enough = minEarlySampleTime
	}
	if p.sampleTime < enough {
		return
	}
	p.rateSamples++
	gain := max(minRateGain, 1/float64(p.rateSamples+1))
	sample := min(max(p.sampleTokens/p.sampleTime.Seconds(), minRate), maxRate)
	p.rate += gain * (sample - p.rate)
	p.sampleTokens, p.sampleTime = 0, 0
}

// meanPace is what is believed of an engine that was not measured: the mean of those
// that were.
func (p *Pool) meanEstimate() prefillEstimate {
	mean, count := prefillEstimate{}, 0
	for _, e := range p.sorted {
		if e.isMeasured() {
			mean.rate += e.rate
			mean.lag += e.lag
			count++
		}
	}
	if count == 0 {
		return newPrefillEstimate()
	}
	mean.rate /= float64(count)
	mean.lag /= time.Duration(count)
	return mean
}

// believePace has the engines that were not measured follow those that were. Until
// then the waits predicted after a restart were two and a half times too long on
// engines that read 110,000 tokens a second, and requests refused for that.
func (p *Pool) updateEstimates() {
	mean := p.meanEstimate()
	for _, e := range p.sorted {
		if !e.isMeasured() {
			e.rate = mean.rate
		}
	}
}
