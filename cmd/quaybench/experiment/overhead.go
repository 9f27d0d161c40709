package experiment

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/quaylead/quaylead/cmd/quaybench/fleet"
	"github.com/quaylead/quaylead/cmd/quaybench/measure"
)

// overheadSamples is the number of pairs of requests that the overhead is computed
// from.
const overheadSamples = 200

// measureOverhead returns the latency that a router adds to a request to a plain
// service, in milliseconds. It sends requests alternately through a router and
// directly, and has to be called before the load starts.
func measureOverhead(ctx context.Context, f *fleet.Fleet, customer string) (p50, p99 float64, err error) {
	defer func() { err = trace.Wrap(err, "measuring overhead") }()
	if len(f.Services) == 0 {
		return 0, 0, nil
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var direct, routed []time.Duration
	for range overheadSamples {
		for _, target := range []struct {
			address   string
			durations *[]time.Duration
		}{{f.Services[0].Address, &direct}, {f.Routers[0].CallerAddress, &routed}} {
			took, err := timeRequest(ctx, client, "http://"+target.address+"/overhead", customer)
			if err != nil {
				return 0, 0, err
			}
			*target.durations = append(*target.durations, took)
		}
	}
	directLatency, routedLatency := measure.Quantiles(direct), measure.Quantiles(routed)
	return routedLatency.P50 - directLatency.P50, routedLatency.P99 - directLatency.P99, nil
}

func timeRequest(ctx context.Context, client *http.Client, url, customer string) (took time.Duration, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Key(customer))
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, trace.BadParameter("status %d from %s", response.StatusCode, url)
	}
	return time.Since(start), nil
}
