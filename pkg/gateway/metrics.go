package gateway

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/logflags"
	"github.com/quaylead/quaylead/pkg/record"
	"github.com/quaylead/quaylead/pkg/registry"
)

// MetricsPath is the path of the counters and histograms, as one JSON object.
const MetricsPath = "/debug/vars"

// Metrics are the metrics that one box publishes.
type Metrics struct {
	firstEvent       record.Latencies
	total            record.Latencies
	refusals         expvar.Map
	dispatchRefusals expvar.Map
	cuts             expvar.Map
	// granted counts grants, and missingTokens the tokens of shared prompt parts that were not
	// cached at the granted engines.
	granted       expvar.Int
	missingTokens expvar.Int
	// fetched counts grants, and fetchedTokens their tokens, for which this box, as the dispatcher,
	// chose an engine from which the granted one copies cached parts. lateFetches counts those with
	// a first event far later than predicted, and lostSources the requests of this box's callers
	// that were sent without a source, as it was no longer listed.
	fetched, fetchedTokens, lateFetches, lostSources expvar.Int
	// plainWaits are the times that requests to plain services waited until they were granted a
	// slot, and plainGranted counts these grants.
	plainWaits   record.Latencies
	plainGranted expvar.Int
	// rests counts how often an endpoint asked this box for rest, and handedBack the chosen
	// endpoints to which nothing was sent in the end, as they no longer admitted requests.
	rests, handedBack expvar.Int
	// weightsMoved counts how often the weights of engines moved, by which homes are chosen.
	weightsMoved expvar.Int
	// crossedBytes are the bytes of the bodies that went to engines of other availability zones.
	crossedBytes expvar.Int
	// fullReads counts the full reads of the endpoints that were begun, by reason.
	fullReads expvar.Map
	// kept is the memory kept for callers, in bytes. memoryRefusals and unreadCuts count, by
	// customer, the requests refused for it and the answers cut because they were not read.
	kept                       expvar.Int
	memoryRefusals, unreadCuts expvar.Map
	// takeUps counts the streams that callers took up, and those that they could not, by reason.
	// origins is the number of streams of which this box knows which release began them.
	// originsNotified and originsAsked count those of which it notified other boxes, and for which it
	// asked them.
	takeUps                                expvar.Map
	origins, originsNotified, originsAsked expvar.Int
	// unframed counts the responses of endpoints with neither a length nor chunks, by how they
	// ended.
	unframed expvar.Map
	// disordered counts events of streams with an ID that does not follow the one before.
	disordered expvar.Int
	// hedges counts the second attempts of requests whose endpoint was silent, by result.
	hedges expvar.Map
}

// Publish registers the metrics under their expvar names. It may be called only once in a
// process.
func (m *Metrics) Publish() {
	expvar.Publish("FirstEvent", expvar.Func(func() any { return m.firstEvent.Summaries() }))
	expvar.Publish("Total", expvar.Func(func() any { return m.total.Summaries() }))
	expvar.Publish("Refusals", &m.refusals)
	expvar.Publish("Turned", &m.dispatchRefusals)
	expvar.Publish("Cuts", &m.cuts)
	expvar.Publish("Granted", &m.granted)
	expvar.Publish("PlainGranted", &m.plainGranted)
	expvar.Publish("PlainWaited", expvar.Func(func() any { return m.plainWaits.Summaries() }))
	expvar.Publish("Missing", &m.missingTokens)
	expvar.Publish("Fetched", &m.fetched)
	expvar.Publish("FetchedTokens", &m.fetchedTokens)
	expvar.Publish("FetchedLate", &m.lateFetches)
	expvar.Publish("FetchSourceLost", &m.lostSources)
	expvar.Publish("Rests", &m.rests)
	expvar.Publish("HandedBack", &m.handedBack)
	expvar.Publish("Readings", &m.fullReads)
	expvar.Publish("WeightsMoved", &m.weightsMoved)
	expvar.Publish("CrossedBytes", &m.crossedBytes)
	expvar.Publish("Kept", &m.kept)
	expvar.Publish("TurnedMemory", &m.memoryRefusals)
	expvar.Publish("CutUnread", &m.unreadCuts)
	expvar.Publish("TakeUps", &m.takeUps)
	expvar.Publish("Origins", &m.origins)
	expvar.Publish("OriginsTold", &m.originsNotified)
	expvar.Publish("OriginsAsked", &m.originsAsked)
	expvar.Publish("Unframed", &m.unframed)
	expvar.Publish("Disordered", &m.disordered)
	expvar.Publish("Hedges", &m.hedges)
}

// FirstEvent records the time to a stream's first event.
func (m *Metrics) FirstEvent(customer, route string, took time.Duration) {
	m.firstEvent.Add(record.Key{Customer: customer, Class: route}, took)
}

// Completed records the time to the end of a complete response.
func (m *Metrics) Completed(customer, route string, took time.Duration) {
	m.total.Add(record.Key{Customer: customer, Class: route}, took)
}

// Refused counts a refusal by its code.
func (m *Metrics) Refused(code string) { m.refusals.Add(code, 1) }

// RefusedByDispatcher counts, by customer, a request that the dispatcher, or this box in its
// place, refused.
func (m *Metrics) RefusedByDispatcher(customer string) { m.dispatchRefusals.Add(customer, 1) }

// Cut counts, by service, a response that the caller received truncated.
func (m *Metrics) Cut(service string) { m.cuts.Add(service, 1) }

// Hedged counts a second attempt that ended.
func (m *Metrics) Hedged(result hedgeResult) { m.hedges.Add(string(result), 1) }

// Granted counts a grant.
func (m *Metrics) Granted(v verdict) {
	m.granted.Add(1)
	m.missingTokens.Add(int64(v.missingTokens))
}

// TransferGranted counts a grant of which the engine copies tokens from another one; 0 means that
// it copies none.
func (m *Metrics) TransferGranted(tokens int) {
	if tokens > 0 {
		m.fetched.Add(1)
		m.fetchedTokens.Add(int64(tokens))
	}
}

// PlainGranted records a grant of a slot and how long the request waited for it.
func (m *Metrics) PlainGranted(customer, route string, waited time.Duration) {
	m.plainGranted.Add(1)
	m.plainWaits.Add(record.Key{Customer: customer, Class: route}, waited)
}

// RestRequested counts a response in which an endpoint asks for rest.
func (m *Metrics) RestRequested() { m.rests.Add(1) }

// WeightsMoved counts a change of the weights of engines.
func (m *Metrics) WeightsMoved() { m.weightsMoved.Add(1) }

// Crossed counts the bytes of a body that goes to an engine of another availability zone.
func (m *Metrics) Crossed(bytes int) { m.crossedBytes.Add(int64(bytes)) }

// FullRead counts a full read of the endpoints that begins.
func (m *Metrics) FullRead(reason registry.FullReadReason) { m.fullReads.Add(string(reason), 1) }

// Kept returns the memory kept for callers, in bytes.
func (m *Metrics) Kept() int64 { return m.kept.Value() }

// RefusedForMemory counts, by customer, a request refused because of the memory kept for it.
func (m *Metrics) RefusedForMemory(customer string) { m.memoryRefusals.Add(customer, 1) }

// CutUnread counts, by customer, an answer cut because it was not read.
func (m *Metrics) CutUnread(customer string) { m.unreadCuts.Add(customer, 1) }

// TakenUp counts a stream that its caller took up and that goes on.
func (m *Metrics) TakenUp() { m.takeUps.Add("Continued", 1) }

// TakeUpRefused counts, by reason, a stream that its caller could not take up.
func (m *Metrics) TakeUpRefused(reason string) { m.takeUps.Add(reason, 1) }

// OriginsHeld records the number of streams of which it is known which release began them.
func (m *Metrics) OriginsHeld(count int) { m.origins.Set(int64(count)) }

// OriginNotified counts an origin of a stream of which one other box is notified.
func (m *Metrics) OriginNotified() { m.originsNotified.Add(1) }

// OriginAsked counts a request to one other box for the origin of a stream.
func (m *Metrics) OriginAsked() { m.originsAsked.Add(1) }

// OriginMessages returns how often other boxes were notified of an origin of a stream, and asked for one.
func (m *Metrics) OriginMessages() (notified, asked int64) {
	return m.originsNotified.Value(), m.originsAsked.Value()
}

// UnframedEnded counts a response that ended with its connection; broken is set if it is known to
// have broken off.
func (m *Metrics) UnframedEnded(broken bool) {
	if broken {
		m.unframed.Add("Broken", 1)
	} else {
		m.unframed.Add("Ended", 1)
	}
}

// Unframed returns how many responses ended with their connection, and how many of them are known to
// have broken off.
func (m *Metrics) Unframed() (ended, broken int64) {
	count := func(key string) int64 {
		if n, ok := m.unframed.Get(key).(*expvar.Int); ok {
			return n.Value()
		}
		return 0
	}
	return count("Ended"), count("Broken")
}

// EventDisordered counts an event with an ID that does not follow the one before.
func (m *Metrics) EventDisordered() { m.disordered.Add(1) }

// Disordered returns the number of events with IDs that did not follow the ones before.
func (m *Metrics) Disordered() int64 { return m.disordered.Value() }

// HandedBack counts a chosen endpoint to which nothing was sent.
func (m *Metrics) HandedBack() { m.handedBack.Add(1) }

func (g *Gateway) writeMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json; charset=utf-8")
	var out bytes.Buffer
	out.WriteString("{")
	first := true
	expvar.Do(func(entry expvar.KeyValue) {
		if !first {
			out.WriteString(",")
		}
		first = false
		fmt.Fprintf(&out, "\n%q: %s", entry.Key, entry.Value)
	})
	out.WriteString("\n}\n")
	ctx.SetBody(out.Bytes())
}

// countsInterval is the time between two log lines that summarise successes.
const countsInterval = 5 * time.Second

// reportCounts logs a summary of the successes.
func (g *Gateway) reportCounts(ctx context.Context) error {
	log := g.Logs.For(logflags.Box)
	traffic := &g.exchange.Traffic
	interval.Every(ctx, countsInterval, func() {
		log.Info("counts",
			zap.Duration("Suspended", g.suspensions.Detected()),
			zap.Int("Alive", g.fleet.CountLive()+1),
			zap.Stringer("Known", g.registry.Knowledge().Known),
			zap.Int64("PeerBytesSent", traffic.Sent.Load()),
			zap.Int64("PeerBytesReceived", traffic.Received.Load()),
			zap.Int64("Updates", traffic.Updates.Load()),
			zap.Int64("Snapshots", traffic.Snapshots.Load()),
			zap.Int64("Dispatch", traffic.Dispatch.Load()),
			zap.Int64("Handovers", traffic.Handovers.Load()),
			zap.Int64("Origins", traffic.Origins.Load()),
			zap.Int64("InFlight", g.inFlight.Load()),
			zap.Duration("ProcessorWait", g.load.meanDelay()),
			zap.Int64("Kept", g.Metrics.kept.Value()),
			zap.Int64("Granted", g.Metrics.granted.Value()),
			zap.Int64("PlainGranted", g.Metrics.plainGranted.Value()),
			zap.Int64("MissingTokens", g.Metrics.missingTokens.Value()),
			zap.Int64("Fetched", g.Metrics.fetched.Value()),
			zap.Int64("FetchedTokens", g.Metrics.fetchedTokens.Value()),
			zap.Int64("Rests", g.Metrics.rests.Value()),
			zap.Int64("HandedBack", g.Metrics.handedBack.Value()),
			zap.String("Refusals", g.Metrics.refusals.String()),
			zap.String("Unframed", g.Metrics.unframed.String()),
			zap.Int64("LinesDropped", g.Logs.Dropped()))
		for _, group := range g.schedulers() {
			group.logHomes()
		}
	})
	return nil
}

// sampleInterval is the number of successes of which one is logged.
const sampleInterval = 16

// isSampled selects requests by a hash of their ID, so that every box logs the same ones.
func isSampled(id string) bool {
	return xxhash.Sum64String(id)%sampleInterval == 0
}

func contextCause(c *call) error { return context.Cause(c.ctx) }
