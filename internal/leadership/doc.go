// Package leadership elects one leader among the hosts. A few hosts are
// witnesses, the voters of the election. A promise is a lease that a witness
// grants to one candidate for one term: until it expires or is released, the
// witness grants none to another candidate or term. A host holds the leader lease while it has
// promises from a majority of the witnesses. Promises are held in memory only;
// only the witness record, which lists the witnesses, is stored.
package leadership
