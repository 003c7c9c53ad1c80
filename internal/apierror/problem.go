package apierror

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// The header names of the project's answers.
const (
	HeaderRequestID = "Cassiasill-Request-Id"
	HeaderExecuted  = "Cassiasill-Executed"
	HeaderKind      = "Cassiasill-Error-Kind"
)

// Problem is the RFC 9457 body of an error answer.
type Problem struct {
	Type      string   `json:"type"`
	Title     string   `json:"title"`
	Status    int      `json:"status"`
	Detail    string   `json:"detail,omitempty"`
	Kind      Kind     `json:"kind"`
	Executed  Executed `json:"executed"`
	RequestID string   `json:"requestId,omitempty"`
}

// Write answers w with err as application/problem+json.
func Write(w http.ResponseWriter, requestID string, err error) {
	e := From(err)
	answer := e.Answer()
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderExecuted, string(answer.Executed))
	header.Set(HeaderKind, string(e.Kind))
	if requestID != "" {
		header.Set(HeaderRequestID, requestID)
	}
	if answer.RetryAfter > 0 {
		seconds := int(math.Ceil(answer.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(answer.Status)
	problem := Problem{
		Type: "urn:cassiasill:" + string(e.Kind), Title: answer.Title, Status: answer.Status,
		Detail: e.Detail, Kind: e.Kind, Executed: answer.Executed, RequestID: requestID,
	}
	// The caller may be gone; the status line is all that can still be told.
	_ = json.NewEncoder(w).Encode(problem)
}
