// Package invariant states the guarantees of the design page as code. The
// fault matrix, the random schedules and the dev command all check with it.
package invariant
