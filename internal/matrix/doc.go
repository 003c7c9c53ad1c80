// Package matrix holds the fault matrix: a small deployment of the real code on
// a virtual clock, in which every fault strikes at every step of every
// protocol. The harness lives in the package's tests, because the virtual clock
// needs one. To print the table and to write the report:
//
//	go test ./internal/matrix -run TestMatrix -args -report docs/faults.md
package matrix
