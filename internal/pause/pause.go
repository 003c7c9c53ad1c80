// Package pause sleeps until a duration has passed or a context ends.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. If ctx ends first, it returns the context's error.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
