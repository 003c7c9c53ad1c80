// Package detour reaches servers by way of other hosts while this host is cut off
// from them.
//
// A host that can open no connection to any server asks a peer to open one and to
// copy the bytes. The peer confirms the connection before anything is sent on it,
// so a request for which there is no connection is known not to have been sent. A
// peer only connects directly: requests never pass two peers, nor a circle.
package detour
