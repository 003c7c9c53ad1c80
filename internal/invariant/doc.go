// Package invariant checks the guarantees G1 to G8 of the design page. The fault
// matrix, the randomized simulations of package ownership and the dev command use
// its checkers.
package invariant
