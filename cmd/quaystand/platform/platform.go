// Package platform is a stand-in of the operators' platform: a table store with
// conditional writes and transactions, an object store, and a box list that is
// updated with a delay. Faults can be switched on while it runs.
package platform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/quaylead/quaylead/cmd/quaystand/truth"
	"github.com/quaylead/quaylead/pkg/platform"
	"github.com/quaylead/quaylead/pkg/revision"
)

// Platform is the stand-in. Its exported fields are set before Run.
type Platform struct {
	// Address is the IP and port that it listens on.
	Address string
	// WritesPerSecond and ReadsPerSecond bound the rate of calls; calls above it are refused.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// ListLag is the minimum age of the box list that is served.
	ListLag time.Duration
	// Truth is the log of accepted settings.
	Truth *truth.Log

	mu       sync.Mutex
	faults   Faults
	rows     map[string]row
	objects  map[string][]byte
	versions int
	lists    []timedList
	counts   Counts
	initOnce sync.Once
	writes   *rate.Limiter
	reads    *rate.Limiter
}

// Faults are the current faults.
type Faults struct {
	// Outage makes every call return status 503, without effect.
	Outage bool
	// Hang keeps every call waiting for hangDuration and then returns status 503.
	Hang bool
	// Delay is waited before every call.
	Delay time.Duration
	// LoseAnswers is the fraction of writes that take effect but get no response: the
	// connection is closed.
	LoseAnswers float64
	// ListOutage makes reads of the box list return status 503.
	ListOutage bool
}

// Counts are the numbers of calls that were made, and of the bytes in them.
type Counts struct {
	Reads  int64
	Writes int64
	Bytes  int64
}

type row struct {
	value   []byte
	version string
}

type timedList struct {
	at    time.Time
	boxes []byte
}

// Handle serves one HTTP call.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	p.initOnce.Do(p.initialize)
	path := string(ctx.Path())
	switch {
	case path == "/control":
		p.serveControl(ctx)
		return
	case path == "/counts":
		p.serveCounts(ctx)
		return
	case path == "/boxes" && !ctx.IsGet():
		p.setBoxes(ctx)
		return
	}
	lose, ok := p.applyFaults(ctx, path)
	if !ok {
		return
	}
	switch {
	case path == "/boxes":
		p.serveBoxes(ctx)
	case path == "/transactions":
		p.serveTransaction(ctx)
	case strings.HasPrefix(path, "/tables/"):
		p.serveRow(ctx, path)
	case strings.HasPrefix(path, "/objects/"):
		p.serveObject(ctx, path)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
	if lose {
		p.dropConnection(ctx)
	}
}

func (p *Platform) initialize() {
	p.rows = map[string]row{}
	p.objects = map[string][]byte{}
	p.writes = rate.NewLimiter(rate.Limit(p.WritesPerSecond), max(1, int(p.WritesPerSecond/4)))
	p.reads = rate.NewLimiter(rate.Limit(p.ReadsPerSecond), max(1, int(p.ReadsPerSecond/4)))
}

// hangDuration is how long a hanging call waits.
const hangDuration = 30 * time.Second

// applyFaults applies the current faults to a call before it is executed. Ok is false if the call
// has been refused; lose is true if its response must be dropped.
func (p *Platform) applyFaults(ctx *fasthttp.RequestCtx, path string) (lose, ok bool) {
	p.mu.Lock()
	faults := p.faults
	isRead := ctx.IsGet()
	limiter := p.writes
	if isRead {
		limiter = p.reads
		p.counts.Reads++
	} else {
		p.counts.Writes++
	}
	p.counts.Bytes += int64(len(ctx.Request.Header.Header()) + len(ctx.PostBody()))
	p.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Hang {
		time.Sleep(hangDuration)
	}
	if faults.Outage || faults.Hang || (faults.ListOutage && path == "/boxes") || !limiter.Allow() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return false, false
	}
	return !isRead && rand.Float64() < faults.LoseAnswers, true
}

// dropConnection closes the connection instead of sending a response.
func (p *Platform) dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

func (p *Platform) serveControl(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *Platform) serveCounts(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	counts := p.counts
	p.mu.Unlock()
	writeJSON(ctx, counts)
}

func (p *Platform) setBoxes(ctx *fasthttp.RequestCtx) {
	var boxes []platform.ListedBox
	if err := json.Unmarshal(ctx.PostBody(), &boxes); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, timedList{at: time.Now(), boxes: append([]byte{}, ctx.PostBody()...)})
}

// serveBoxes responds with the newest list that is at least ListLag old, or else the first one.
func (p *Platform) serveBoxes(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []byte("[]")
	due := time.Now().Add(-p.ListLag)
	for i, old := range p.lists {
		if i > 0 && old.at.After(due) {
			break
		}
		list = old.boxes
	}
	ctx.SetBody(list)
}

func (p *Platform) serveObject(ctx *fasthttp.RequestCtx, path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.IsPut() {
		p.objects[path] = append([]byte{}, ctx.PostBody()...)
		return
	}
	object, known := p.objects[path]
	if !known {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(object)
}

func (p *Platform) serveRow(ctx *fasthttp.RequestCtx, path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, known := p.rows[path]
	if ctx.IsGet() {
		if !known {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ctx.Response.Header.Set(fasthttp.HeaderETag, found.version)
		ctx.SetBody(found.value)
		return
	}
	ifMatch := string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch))
	ifNoneMatch := string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch))
	if (ifNoneMatch == "*" && known) || (ifMatch != "" && ifMatch != found.version) {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	if ctx.IsDelete() {
		delete(p.rows, path)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, p.set(path, ctx.PostBody()))
}

// set writes a row and returns its new version.
func (p *Platform) set(path string, value []byte) (version string) {
	p.versions++
	version = fmt.Sprintf("\"%d\"", p.versions)
	p.rows[path] = row{value: append([]byte{}, value...), version: version}
	return version
}

func (p *Platform) serveTransaction(ctx *fasthttp.RequestCtx) {
	var writes []platform.Write
	if err := json.Unmarshal(ctx.PostBody(), &writes); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, write := range writes {
		found, known := p.rows[rowPath(write)]
		if (write.IfAbsent && known) || (write.IfVersion != "" && write.IfVersion != found.version) {
			writeJSON(ctx, platform.ConflictError{Table: write.Table, Key: write.Key})
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
			return
		}
	}
	for _, write := range writes {
		p.set(rowPath(write), write.Value)
		p.recordAccepted(write)
	}
}

// recordAccepted adds accepted settings to the log of ground truth.
func (p *Platform) recordAccepted(write platform.Write) {
	if write.Table != revision.HeadTable {
		return
	}
	var head revision.Head
	if json.Unmarshal(write.Value, &head) == nil {
		p.Truth.Add(truth.Event{Kind: truth.Accepted, Revision: head.Revision, Request: head.Nonce})
	}
}

func rowPath(write platform.Write) string {
	return "/tables/" + write.Table + "/" + write.Key
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
