package dispatch

import (
	"time"

	"github.com/quaylead/quaylead/pkg/placement"
)

// prefillEstimate estimates how fast an engine reads prompts, from its first requests on.
type prefillEstimate struct {
	// rate is in prompt tokens a second, including the decode steps between chunks of the
	// prompt.
	rate float64
	// lag is the time from when an idle engine takes a request to its first token, apart from
	// the reading: connection, decode steps, and the way back.
	lag time.Duration

	// rateSamples and lagSamples are the numbers of samples of the rate and of the lag.
	rateSamples, lagSamples int
	// sampleTokens and sampleTime are the tokens and the reading time of the current sample.
	sampleTokens float64
	sampleTime   time.Duration

	// rating averages the rate over a longer time than rate, so that noise does not move the
	// homes of prompts.
	rating placement.Rating
	steadyRate
}

const (
	// initialRate is assumed before any engine of the pool was measured; it is the order of
	// magnitude of current engines.
	initialRate = 45000
	// initialLag is the same for the lag; engines had 50 to 70 ms.
	initialLag = 60 * time.Millisecond
	// minEarlySampleTime is the reading time that makes one of the first samples of the rate, of
	// which there are earlySamples, and minSampleTime that of later ones: several prompts long.
	minEarlySampleTime = 40 * time.Millisecond
	earlySamples       = 4
	minSampleTime      = 300 * time.Millisecond
	// minRateGain is the minimum weight of a new sample; the first samples are averaged with the
	// initial value.
	minRateGain = 0.25
	// minLagGain is the same for the lag, of which each request is a sample.
	minLagGain = 0.05
	// minRate and maxRate bound the value of a sample, and maxLag that of a sample of the lag.
	minRate = 4000
	maxRate = 400000
	maxLag  = 500 * time.Millisecond
)

func newPrefillEstimate() prefillEstimate { return prefillEstimate{rate: initialRate, lag: initialLag} }

// isMeasured reports whether the rate has been measured.
func (p *prefillEstimate) isMeasured() bool { return p.rateSamples > 0 }

func (p *prefillEstimate) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.rate * float64(time.Second))
}

// recordFirstToken evaluates the time from when the engine could start to read a prompt to its
// first token. A queued prompt was read right after the one before, so the lag is contained in
// both times and their difference is reading time. For others, the time is a sample of the rate
// or of the lag, whichever is the larger part of it.
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

// recordRead adds tokens and the time taken to read them to the current sample of the rate.
func (p *prefillEstimate) recordRead(tokens int, took time.Duration) {
	took = max(took, 0)
	p.rating.Add(float64(tokens), min(took, time.Duration(tokens)*time.Second/minRate))
	p.sampleTokens += float64(tokens)
	p.sampleTime += took
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
	p.steadyRate.recordSample(sample)
	p.sampleTokens, p.sampleTime = 0, 0
}

// meanEstimate returns the mean of the measured engines, which is assumed for the others.
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

// updateEstimates sets the rate of engines that were not measured to the mean of those that
// were. Without it, waits predicted after a restart were two and a half times too long for
// engines that read 110,000 tokens a second, and requests were refused for that.
func (p *Pool) updateEstimates() {
	mean := p.meanEstimate()
	p.meanRate = mean.rate
	for _, e := range p.sorted {
		switch {
		case e.isMeasured():
		case p.uneven && e.rating.Rate() > 0:
			e.rate = e.rating.Rate()
		default:
			e.rate = mean.rate
		}
	}
}
