// Package balancer is a stand-in of the platform's load balancer. It distributes
// connections over the boxes that report that they are ready.
package balancer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Box is a box behind the balancer.
type Box struct {
	// CallerAddress is the address for callers' connections.
	CallerAddress string
	// ReadyURL responds with status 200 while the box accepts work.
	ReadyURL string

	ready atomic.Bool
}

// Balancer is the stand-in. Its exported fields are set before Run.
type Balancer struct {
	Address string
	Boxes   []*Box
	// CheckInterval is the interval at which the readiness of a box is checked. It also bounds
	// a readiness check and a connection attempt.
	CheckInterval time.Duration

	next atomic.Uint64
}

// Run distributes connections until the context ends.
func (b *Balancer) Run(ctx context.Context) (err error) {
	defer func() { err = trace.Wrap(err, "balancing") }()
	listener, err := net.Listen("tcp", b.Address)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	for _, box := range b.Boxes {
		group.Go(func() error { return b.checkReadiness(ctx, box) })
	}
	group.Go(func() error {
		for {
			caller, err := listener.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return err
			}
			group.Go(func() error {
				b.forward(ctx, caller)
				return nil
			})
		}
	})
	return group.Wait()
}

// checkReadiness updates whether a box is ready, until the context ends.
func (b *Balancer) checkReadiness(ctx context.Context, box *Box) error {
	ticker := time.NewTicker(b.CheckInterval)
	defer ticker.Stop()
	for {
		status, _, err := fasthttp.GetTimeout(nil, box.ReadyURL, b.CheckInterval)
		box.ready.Store(err == nil && status == fasthttp.StatusOK)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// forward connects a caller to the next ready box, round robin, and copies data between them.
func (b *Balancer) forward(ctx context.Context, caller net.Conn) {
	defer caller.Close()
	for range b.Boxes {
		box := b.Boxes[b.next.Add(1)%uint64(len(b.Boxes))]
		if !box.ready.Load() {
			continue
		}
		server, err := net.DialTimeout("tcp", box.CallerAddress, b.CheckInterval)
		if err != nil {
			continue
		}
		pipe(ctx, caller, server)
		return
	}
}

// pipe copies data in both directions until one side closes.
func pipe(ctx context.Context, caller, server net.Conn) {
	defer server.Close()
	stop := context.AfterFunc(ctx, func() {
		caller.Close()
		server.Close()
	})
	defer stop()
	group := errgroup.Group{}
	group.Go(func() error {
		_, err := io.Copy(server, caller)
		server.Close()
		return err
	})
	group.Go(func() error {
		_, err := io.Copy(caller, server)
		caller.Close()
		return err
	})
	// A broken connection ends both directions; its error needs no handling.
	_ = group.Wait()
}
