// Package topology defines the domain types that the other packages share:
// names, the hash ring, slices, assignments, grant sets and terms.
package topology
