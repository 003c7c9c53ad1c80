package headers

import (
	"fmt"
	"net/http"
	"strings"
)

// NameError reports a field of a response whose name is no token (RFC 9110, section 5.1).
type NameError struct{ Name string }

// Error quotes the name.
func (e *NameError) Error() string {
	return fmt.Sprintf("the response has a field with the invalid name %q", e.Name)
}

// CheckNames returns a *NameError if net/http has read a response with an invalid field
// name. It accepts blanks in names, and does not apply a Content-Length or a
// Transfer-Encoding with a blank behind its name, so that the body is another than the
// server's. It rejects all other invalid names itself.
func CheckNames(header http.Header) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return &NameError{Name: name}
		}
	}
	return nil
}

// CheckResponses returns a RoundTripper that fails with a *NameError, as for a response that
// can't be parsed, instead of returning a response with an invalid field name.
func CheckResponses(transport *http.Transport) http.RoundTripper { return checkedTransport{transport} }

type checkedTransport struct{ *http.Transport }

// RoundTrip sends one request.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckNames(response.Header); err != nil {
		_ = response.Body.Close() // which closes the connection, unless the body has been read
		return nil, err
	}
	return response, nil
}
