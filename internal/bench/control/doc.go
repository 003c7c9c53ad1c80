// Package control measures what a deployment without callers costs: processor
// time, memory, bytes between hosts and calls of the store, by the number of
// hosts and servers. It runs the real hosts in one process over loopback.
package control
