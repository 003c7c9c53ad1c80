package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/headers"
)

// The headers of the protocol between callers, hosts and upstreams. Every header
// with reservedPrefix belongs to this protocol.
const (
	reservedPrefix     = "Cassiasill-"
	headerTimeout      = "Cassiasill-Timeout-Millis"
	headerFencingToken = "Cassiasill-Fencing-Token"
	headerDeadline     = "Cassiasill-Deadline-Millis"
	headerCaller       = "Cassiasill-Caller"
	headerReplayed     = "Cassiasill-Replayed"
	headerIdempotency  = "Idempotency-Key"
)

// checkHeaders rejects requests whose headers are too large.
func checkHeaders(header http.Header, limits Limits) error {
	size, fields := 0, 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
			fields++
		}
	}
	if size > limits.MaxHeaderBytes || fields > limits.MaxHeaderFields {
		return apierror.New(apierror.KindTooLarge, "the headers exceed %d bytes or %d fields", limits.MaxHeaderBytes, limits.MaxHeaderFields)
	}
	return nil
}

// copyHeaders copies the end-to-end headers from src to dst, without the
// reserved ones.
func copyHeaders(dst, src http.Header) { headers.CopyEndToEnd(dst, src, isReserved) }

func isReserved(name string) bool {
	return len(name) >= len(reservedPrefix) && strings.EqualFold(name[:len(reservedPrefix)], reservedPrefix)
}

// requestTimeout returns the timeout that the caller requests, or else fallback,
// bounded by limit.
func requestTimeout(header http.Header, fallback, limit time.Duration) (time.Duration, error) {
	values := header[headerTimeout]
	if len(values) == 0 {
		return min(fallback, limit), nil
	}
	millis, err := strconv.ParseUint(values[0], 10, 31)
	if err != nil || millis == 0 || len(values) > 1 {
		return 0, apierror.New(apierror.KindBadRequest, "%s is not one positive number of milliseconds", headerTimeout)
	}
	return min(time.Duration(millis)*time.Millisecond, limit), nil
}
