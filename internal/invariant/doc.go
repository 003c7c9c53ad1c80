// Package invariant holds the guarantees as checks that tests, the fault matrix
// and the dev command run against what servers and hosts did.
package invariant
