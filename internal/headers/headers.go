// Package headers tells the headers that concern one connection from those that
// are passed on.
package headers

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that concern one connection only (RFC 9110,
// section 7.6.1), and Trailer and Expect, which a host answers itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	// The framing is set from the parsed length, never from the header.
	"Content-Length": true,
}

// CopyEndToEnd copies the end-to-end headers from src to dst but for those that
// skip, if not nil, names.
func CopyEndToEnd(dst, src http.Header, skip func(name string) bool) {
	connection := src["Connection"]
	for name, values := range src {
		if hopByHop[name] || skip != nil && skip(name) || namedBy(connection, name) {
			continue
		}
		dst[name] = values
	}
}

// namedBy reports whether a Connection header names the field as hop-by-hop.
func namedBy(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(token), name) {
				return true
			}
		}
	}
	return false
}
