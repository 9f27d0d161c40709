// Package balancer is the stand-in of the platform's balancer: it spreads
// connections over the boxes that say they are ready.
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
	// CallerAddress takes callers' connections.
	CallerAddress string
	// ReadyURL answers 200 while the box takes work.
	ReadyURL string

	ready atomic.Bool
}

// Balancer is the stand-in. Its exported fields are set before Run.
type Balancer struct {
	Address string
	Boxes   []*Box
	// CheckInterval is the time between two looks at a box's readiness.
	CheckInterval time.Duration

	next atomic.Uint64
}

// Run spreads connections until the context ends.
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

// carry joins a caller's connection to the next ready box.
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

// join copies both ways until one side ends.
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
	// A broken connection ends both directions, and that is all there is to it.
	_ = group.Wait()
}
