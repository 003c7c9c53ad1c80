// Package headers separates hop-by-hop headers from the end-to-end headers that a
// proxy forwards.
package headers

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to one connection only (RFC 9110,
// section 7.6.1), and Trailer and Expect, which a host handles itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	// The host sets Content-Length from the parsed length, never from the header.
	"Content-Length": true,
}

// CopyEndToEnd copies the end-to-end headers from src to dst, except those for
// which skip, if not nil, returns true.
func CopyEndToEnd(dst, src http.Header, skip func(name string) bool) {
	connection := src["Connection"]
	for name, values := range src {
		if hopByHop[name] || skip != nil && skip(name) || listedInConnection(connection, name) {
			continue
		}
		dst[name] = values
	}
}

// listedInConnection reports whether a Connection header lists name as hop-by-hop.
func listedInConnection(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(token), name) {
				return true
			}
		}
	}
	return false
}
