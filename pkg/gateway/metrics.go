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

// MetricsPath is where the counters and histograms are read, as one JSON object.
const MetricsPath = "/debug/vars"

// Metrics are what one box publishes.
type Metrics struct {
	firstEvent record.Latencies
	total      record.Latencies
	refusals   expvar.Map
	turned     expvar.Map
	cuts       expvar.Map
	// granted counts grants, and missing the shared tokens that had to be read
	// again by them.
	granted expvar.Int
	missing expvar.Int
	// rests counts the times that an endpoint asked this box for rest, and handedBack the
	// endpoints to which nothing was sent in the end, as they had become ones that get
	// nothing.
	rests, handedBack expvar.Int
	// readings counts the readings of all endpoints that were begun, by reason.
	readings expvar.Map
}

// Publish puts the metrics under their expvar names. It may be called once in a
// process.
func (m *Metrics) Publish() {
	expvar.Publish("FirstEvent", expvar.Func(func() any { return m.firstEvent.Summaries() }))
	expvar.Publish("Total", expvar.Func(func() any { return m.total.Summaries() }))
	expvar.Publish("Refusals", &m.refusals)
	expvar.Publish("Turned", &m.turned)
	expvar.Publish("Cuts", &m.cuts)
	expvar.Publish("Granted", &m.granted)
	expvar.Publish("Missing", &m.missing)
	expvar.Publish("Rests", &m.rests)
	expvar.Publish("HandedBack", &m.handedBack)
	expvar.Publish("Readings", &m.readings)
}

// FirstEvent counts the time to a stream's first event.
func (m *Metrics) FirstEvent(customer, route string, took time.Duration) {
	m.firstEvent.Add(record.Key{Customer: customer, Class: route}, took)
}

// Answered counts the time to a whole answer.
func (m *Metrics) Answered(customer, route string, took time.Duration) {
	m.total.Add(record.Key{Customer: customer, Class: route}, took)
}

// Refused counts a refusal by its code.
func (m *Metrics) Refused(code string) { m.refusals.Add(code, 1) }

// Turned counts a request that the pool turned away, by customer.
func (m *Metrics) Turned(customer string) { m.turned.Add(customer, 1) }

// Cut counts an answer that was passed on visibly cut, by service.
func (m *Metrics) Cut(service string) { m.cuts.Add(service, 1) }

// Granted counts a grant.
func (m *Metrics) Granted(v verdict) {
	m.granted.Add(1)
	m.missing.Add(int64(v.missingTokens))
}

// Rested counts an endpoint's word that it wants rest.
func (m *Metrics) RestRequested() { m.rests.Add(1) }

// ReadingWhole counts a reading of all endpoints that begins.
func (m *Metrics) FullRead(why registry.FullReadReason) { m.readings.Add(string(why), 1) }

// HandedBack counts a choice of an endpoint to which nothing was sent.
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

// countsInterval is the time between two lines that sum up ordinary successes.
const countsInterval = 5 * time.Second

// reportCounts logs what went well, summed up.
func (g *Gateway) reportCounts(ctx context.Context) error {
	log := g.Logs.For(logflags.Box)
	traffic := &g.exchange.Traffic
	interval.Every(ctx, countsInterval, func() {
		log.Info("counts",
			zap.Duration("Suspended", g.suspensions.Noticed()),
			zap.Int("Alive", g.fleet.CountLive()+1),
			zap.Stringer("Known", g.registry.Knowledge().Known),
			zap.Int64("PeerBytesSent", traffic.Sent.Load()),
			zap.Int64("PeerBytesReceived", traffic.Received.Load()),
			zap.Int64("Updates", traffic.Updates.Load()),
			zap.Int64("Snapshots", traffic.Snapshots.Load()),
			zap.Int64("Dispatch", traffic.Dispatch.Load()),
			zap.Int64("Handovers", traffic.Handovers.Load()),
			zap.Int64("InFlight", g.inFlight.Load()),
			zap.Duration("ProcessorWait", g.load.meanDelay()),
			zap.Int64("Granted", g.Metrics.granted.Value()),
			zap.Int64("MissingTokens", g.Metrics.missing.Value()),
			zap.Int64("Rests", g.Metrics.rests.Value()),
			zap.Int64("HandedBack", g.Metrics.handedBack.Value()),
			zap.String("Refusals", g.Metrics.refusals.String()),
			zap.Int64("LinesDropped", g.Logs.Dropped()))
	})
	return nil
}

// sampleEach is the part of ordinary successes that is logged: one in so many.
const sampleInterval = 16

// sampled chooses requests by their ID, so that every box logs the same ones.
func isSampled(id string) bool {
	return xxhash.Sum64String(id)%sampleInterval == 0
}

func contextCause(c *call) error { return context.Cause(c.ctx) }
