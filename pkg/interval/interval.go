// Package interval provides waits for periodic work that ends with a context.
package interval

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait waits for a duration. It returns the context's error if the context ends first.
func Wait(ctx context.Context, duration time.Duration) error {
	return WaitOr(ctx, duration, nil)
}

// WaitOr waits for a duration or until a value arrives on wake. It returns the context's error
// if the context ends first.
func WaitOr(ctx context.Context, duration time.Duration, wake <-chan struct{}) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-wake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Jittered returns a random duration between 0.75 and 1.25 of the mean, so that boxes that
// started together do not stay synchronized.
func Jittered(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.75 + rand.Float64()/2))
}

// Every calls work at once, and then again at jittered intervals with the given mean, until
// the context ends.
func Every(ctx context.Context, mean time.Duration, work func()) {
	for {
		work()
		if Wait(ctx, Jittered(mean)) != nil {
			return
		}
	}
}
