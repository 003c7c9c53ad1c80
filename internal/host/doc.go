// Package host assembles one entry host from its services, such as topics,
// leadership, ownership, declarations, routes, callers and admin. Every host runs
// the same services.
package host
