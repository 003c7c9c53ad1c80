// Package host assembles one entry host from its services: peers, leadership,
// ownership, declarations, routes, callers and admin. Every host runs the same
// services.
package host
