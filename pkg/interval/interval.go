// Package interval waits, for periodic work that ends with a context.
package interval

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait waits for a length of time. It returns the context's error if that ends
// first.
func Wait(ctx context.Context, duration time.Duration) error {
	return WaitOr(ctx, duration, nil)
}

// WaitOr waits for a length of time, or until there is a value to wake it.
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

// Jittered is between 0.75 and 1.25 of the mean, so that boxes that started
// together do not keep step.
func Jittered(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.75 + rand.Float64()/2))
}

// Every calls work now and then again after about the mean, until the context
// ends.
func Every(ctx context.Context, mean time.Duration, work func()) {
	for {
		work()
		if Wait(ctx, Jittered(mean)) != nil {
			return
		}
	}
}
