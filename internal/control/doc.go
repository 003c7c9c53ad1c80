// Package control is how hosts agree: they elect a leader with a key under a
// lease in the store, learn from it what the store holds, and report to it what
// they see. The leader owns the assignments of keys.
//
// A View only moves forward: configurations by the store's revision,
// assignments by version, server lists by when they were read. A host that the
// leader does not keep up to date reads the store itself.
package control
