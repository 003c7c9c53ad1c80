// Package control coordinates the hosts of a deployment. The hosts elect a
// leader through a key that is bound to a lease in the store. The other hosts
// sync with the leader: they receive the state that it reads from the store and
// report what they observe. The leader owns the assignment of key ranges to
// servers.
//
// The state in a View only moves forward: configurations are ordered by the
// operators' version, then by store revision, assignments by version, and server
// lists by the time they were read. That holds when the store is restored from an
// older copy, too: see recovery.go. A host that gets no recent state from the leader reads the store
// itself.
package control
