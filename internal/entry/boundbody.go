package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/cassiasill/cassiasill/internal/membudget"
)

// BoundBodies returns a handler whose request bodies are read like those of callers: a body
// has at most maxBytes, each byte read is taken from the budget until the request ends, and a
// body without progress ends. The server must have network.ContextWithConn as ConnContext.
func BoundBodies(handler http.Handler, budget *membudget.Budget, limits CallerLimits, maxBytes int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			handler.ServeHTTP(w, r)
			return
		}
		body := newRequestBody(r.Context(), r.Body, budget, limits, maxBytes)
		defer body.close()
		r.Body = &chargedBody{body, r.Context(), r.Body}
		handler.ServeHTTP(w, r)
	})
}

// chargedBody takes what it reads from the budget.
type chargedBody struct {
	body *requestBody
	ctx  context.Context
	io.Closer
}

// Read reads the next part of the body.
func (b *chargedBody) Read(p []byte) (int, error) {
	taken := int64(len(p))
	if err := b.body.Acquire(b.ctx, taken); err != nil {
		return 0, err
	}
	n, err := b.body.Read(p)
	b.body.Shrink(taken - int64(n))
	return n, err
}
