// Package leadership elects one leader among the hosts. A leader holds
// promises of a majority of the witnesses; promises are leases in memory and
// nothing is replicated or persisted but the names of the witnesses.
package leadership
