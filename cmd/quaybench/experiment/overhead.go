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

// overheadCalls is the number of pairs of calls that overhead is taken from.
const overheadCalls = 200

// overhead compares calls through a router with direct ones, in turn, before
// the load begins. Both times are in milliseconds.
func overhead(ctx context.Context, f *fleet.Fleet, customer string) (p50, p99 float64, err error) {
	defer func() { err = trace.Wrap(err, "measuring overhead") }()
	if len(f.Services) == 0 {
		return 0, 0, nil
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var direct, routed []time.Duration
	for range overheadCalls {
		for _, way := range []struct {
			address string
			times   *[]time.Duration
		}{{f.Services[0].Address, &direct}, {f.Routers[0].CallerAddress, &routed}} {
			took, err := timeCall(ctx, client, "http://"+way.address+"/overhead", customer)
			if err != nil {
				return 0, 0, err
			}
			*way.times = append(*way.times, took)
		}
	}
	without, with := measure.Quantiles(direct), measure.Quantiles(routed)
	return with.P50 - without.P50, with.P99 - without.P99, nil
}

func timeCall(ctx context.Context, client *http.Client, url, customer string) (took time.Duration, err error) {
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		return 0, err
	}
	call.Header.Set("Authorization", "Bearer "+fleet.Key(customer))
	began := time.Now()
	answer, err := client.Do(call)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, err
	}
	if answer.StatusCode != http.StatusOK {
		return 0, trace.BadParameter("status %d from %s", answer.StatusCode, url)
	}
	return time.Since(began), nil
}
