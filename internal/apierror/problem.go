package apierror

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// Headers of the project's responses.
const (
	HeaderRequestID = "Cassiasill-Request-Id"
	HeaderExecuted  = "Cassiasill-Executed"
	HeaderKind      = "Cassiasill-Error-Kind"
)

// Problem is the RFC 9457 body of an error response.
type Problem struct {
	Type      string   `json:"type"`
	Title     string   `json:"title"`
	Status    int      `json:"status"`
	Detail    string   `json:"detail,omitempty"`
	Kind      Kind     `json:"kind"`
	Executed  Executed `json:"executed"`
	RequestID string   `json:"requestId,omitempty"`
}

// Write writes err to w as application/problem+json.
func Write(w http.ResponseWriter, requestID string, err error) {
	e := From(err)
	response := e.Response()
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderExecuted, string(response.Executed))
	header.Set(HeaderKind, string(e.Kind))
	if requestID != "" {
		header.Set(HeaderRequestID, requestID)
	}
	if response.RetryAfter > 0 {
		seconds := int(math.Ceil(response.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(response.Status)
	problem := Problem{
		Type: "urn:cassiasill:" + string(e.Kind), Title: response.Title, Status: response.Status,
		Detail: e.Detail, Kind: e.Kind, Executed: response.Executed, RequestID: requestID,
	}
	// An error here means that the caller is gone, and the status line is already
	// sent.
	_ = json.NewEncoder(w).Encode(problem)
}
