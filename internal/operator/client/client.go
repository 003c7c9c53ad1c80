// Package client calls the operators' HTTP interface.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/operator/api"
)

const (
	dialTimeout = 2 * time.Second
	// outcomePause is how often the outcome of a change is asked for.
	outcomePause = 500 * time.Millisecond
	// maxReplyBytes bounds a reply: 10⁴ documents of several hundred bytes.
	maxReplyBytes = 64 << 20
)

// Config says which hosts are called and how the operator is known to them.
type Config struct {
	// Servers are base addresses such as https://10.0.0.1:18180. They are
	// tried in order.
	Servers    []string
	TokenFile  string
	CAFile     string
	CertFile   string
	KeyFile    string
	ServerName string
	// Operator is sent where no authentication is configured.
	Operator string
}

// Client calls the first host that answers.
type Client struct {
	config Config
	token  string
	http   *http.Client
}

// Error is a refusal by a host.
type Error struct {
	Server  string
	Problem apierror.Problem
}

// Error describes the refusal.
func (e *Error) Error() string {
	text := e.Problem.Detail
	if text == "" {
		text = e.Problem.Title
	}
	return fmt.Sprintf("%s (%s, executed: %s)", text, e.Problem.Kind, e.Problem.Executed)
}

// UnreachableError says that no host could be called; nothing was executed.
type UnreachableError struct{ Errs []error }

// Error lists what went wrong with each host.
func (e *UnreachableError) Error() string {
	return "no host can be reached, nothing was executed: " + strings.ReplaceAll(errors.Join(e.Errs...).Error(), "\n", "; ")
}

// UnknownError says that the outcome of a change could not be found out.
type UnknownError struct {
	ID  string
	Err error
}

// Error tells how to proceed.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the outcome of change %s is not known yet (%v): ask for it with cassiasillctl history --change %s", e.ID, e.Err, e.ID)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// New returns a client.
func New(config Config) (*Client, error) {
	c := &Client{config: config}
	for i, server := range config.Servers {
		if !strings.Contains(server, "://") {
			server = "http://" + server
		}
		u, err := url.Parse(server)
		if err != nil || u.Host == "" {
			return nil, fmt.Errorf("%q is not a server address", server)
		}
		if config.TokenFile != "" && u.Scheme != "https" && !isLoopback(u.Hostname()) {
			return nil, fmt.Errorf("the token is not sent to %s without TLS: use an https address", server)
		}
		c.config.Servers[i] = strings.TrimSuffix(server, "/")
	}
	if len(config.Servers) == 0 {
		return nil, errors.New("no server address is given")
	}
	if config.TokenFile != "" {
		data, err := os.ReadFile(config.TokenFile)
		if err != nil {
			return nil, err
		}
		c.token = strings.TrimSpace(string(data))
	}
	tlsConfig, err := config.tls()
	if err != nil {
		return nil, err
	}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSClientConfig: tlsConfig,
		TLSHandshakeTimeout: dialTimeout, ForceAttemptHTTP2: true,
	}}
	return c, nil
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func (c Config) tls() (*tls.Config, error) {
	out := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: c.ServerName}
	if c.CAFile != "" {
		data, err := os.ReadFile(c.CAFile)
		if err != nil {
			return nil, err
		}
		out.RootCAs = x509.NewCertPool()
		if !out.RootCAs.AppendCertsFromPEM(data) {
			return nil, fmt.Errorf("%s holds no certificate", c.CAFile)
		}
	}
	if c.CertFile != "" || c.KeyFile != "" {
		certificate, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
		if err != nil {
			return nil, err
		}
		out.Certificates = []tls.Certificate{certificate}
	}
	return out, nil
}

// Documents lists the documents of a kind, or all.
func (c *Client) Documents(ctx context.Context, kind string) (out api.Documents, err error) {
	return out, c.read(ctx, "/v1/documents?kind="+url.QueryEscape(kind), &out)
}

// Document returns one document.
func (c *Client) Document(ctx context.Context, key declaration.Key) (*declaration.Document, error) {
	out := &declaration.Document{}
	return out, c.read(ctx, "/v1/documents/"+url.PathEscape(string(key.Kind))+"/"+url.PathEscape(key.Name), out)
}

// History lists accepted changes, newest first.
func (c *Client) History(ctx context.Context, limit int) (out api.History, err error) {
	return out, c.read(ctx, fmt.Sprintf("/v1/changes?limit=%d", limit), &out)
}

// Outcome returns what became of a change. A change that was not accepted yet
// is closed, so that the answer is final.
func (c *Client) Outcome(ctx context.Context, id string) (out configsync.Accepted, err error) {
	_, err = c.call(ctx, http.MethodPost, "/v1/changes/"+url.PathEscape(id), nil, &out, true)
	return out, err
}

// Status returns the revision in force on each host.
func (c *Client) Status(ctx context.Context) (out api.Status, err error) {
	return out, c.read(ctx, "/v1/status", &out)
}

// Labels returns the labels in force.
func (c *Client) Labels(ctx context.Context, query url.Values) (out api.Labels, err error) {
	return out, c.read(ctx, "/v1/labels?"+query.Encode(), &out)
}

// Explain explains a key or caller; an empty service means all.
func (c *Client) Explain(ctx context.Context, service, subject string) (out api.Explanations, err error) {
	return out, c.read(ctx, "/v1/explain?"+url.Values{"service": {service}, "subject": {subject}}.Encode(), &out)
}

// Diff tells what a change would do.
func (c *Client) Diff(ctx context.Context, change configsync.Change) (out api.Diff, err error) {
	if change.ID == "" {
		change.ID = rand.Text()
	}
	_, err = c.call(ctx, http.MethodPost, "/v1/diff", change, &out, true)
	return out, err
}

// Apply applies a change under a new id. If the answer is lost it asks for the
// outcome by the id until ctx ends, at every host.
func (c *Client) Apply(ctx context.Context, change configsync.Change) (configsync.Result, error) {
	if change.ID == "" {
		change.ID = rand.Text()
	}
	var out configsync.Result
	sent, err := c.call(ctx, http.MethodPost, "/v1/changes", change, &out, false)
	if err == nil || !sent {
		return out, err
	}
	var refusal *Error
	if errors.As(err, &refusal) && refusal.Problem.Executed == apierror.ExecutedNo {
		return out, err
	}
	return c.awaitOutcome(ctx, change.ID, err)
}

func (c *Client) awaitOutcome(ctx context.Context, id string, cause error) (configsync.Result, error) {
	for {
		accepted, err := c.Outcome(ctx, id)
		switch {
		case err == nil && accepted.Refused:
			return configsync.Result{}, &Error{Problem: apierror.Problem{
				Kind: apierror.KindStoreUnavailable, Executed: apierror.ExecutedNo, Detail: "the change was not accepted; nothing was changed, apply again",
			}}
		case err == nil:
			return configsync.Result{ID: id, Revision: accepted.Revision, Edits: accepted.Edits}, nil
		case ctx.Err() != nil:
			return configsync.Result{}, &UnknownError{ID: id, Err: cause}
		}
		select {
		case <-ctx.Done():
		case <-time.After(outcomePause):
		}
	}
}

func (c *Client) read(ctx context.Context, path string, out any) error {
	_, err := c.call(ctx, http.MethodGet, path, nil, out, true)
	return err
}

// call tries the hosts in order until one answers. Unless the request is
// repeatable, only a host to which no connection came about is passed over.
// Sent reports whether a host can have received the request.
func (c *Client) call(ctx context.Context, method, path string, body, out any, repeatable bool) (sent bool, err error) {
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return false, err
		}
	}
	var errs []error
	var last *Error
	for _, server := range c.config.Servers {
		connected := false
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
		err := c.callOne(httptrace.WithClientTrace(ctx, trace), server, method, path, data, out)
		var refusal *Error
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &refusal):
			if !repeatable || refusal.Problem.Status < http.StatusInternalServerError {
				return true, err
			}
			last = refusal
		case connected && !repeatable:
			return true, fmt.Errorf("%s: %w", server, err)
		}
		errs = append(errs, fmt.Errorf("%s: %w", server, err))
	}
	if last != nil {
		return true, last
	}
	return false, &UnreachableError{Errs: errs}
}

func (c *Client) callOne(ctx context.Context, server, method, path string, data []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.config.Operator != "" {
		request.Header.Set(api.HeaderOperator, c.config.Operator)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode/100 == 2 {
		return json.Unmarshal(body, out)
	}
	refusal := &Error{Server: server}
	if err := json.Unmarshal(body, &refusal.Problem); err != nil || refusal.Problem.Kind == "" {
		return fmt.Errorf("%s answers %s without a problem document: is it a cassiasill admin address?", server, response.Status)
	}
	return refusal
}
