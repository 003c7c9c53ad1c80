// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For returns after d, or with the context's error if it ends first.
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
