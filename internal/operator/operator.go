// Package operator is the operators' HTTP interface on the admin address.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/operator/api"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/routing"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// changeTimeout is how long a request waits for a store that owes an
	// answer; after it the operator asks for the outcome by the change's id.
	changeTimeout = 10 * time.Second
	// maxBodyBytes admits a change of the largest size with its JSON quoting.
	maxBodyBytes = 2 * configsync.MaxChangeBytes
)

// Writer is the part of configsync.Writer that the interface uses.
type Writer interface {
	Apply(ctx context.Context, change configsync.Change) (configsync.Result, error)
	Outcome(ctx context.Context, id string) (configsync.Accepted, error)
	History(ctx context.Context) ([]configsync.Accepted, error)
}

// Follower is the part of configsync.Follower that the interface uses.
type Follower interface {
	Current() *declaration.Set
	Fresh() bool
}

// Owners finds the present owner of a key; routing.Resolver is one.
type Owners interface {
	Owner(service topology.ServiceName, h topology.Hash) routing.Owner
}

// Hosts lists the live hosts; hostlist.Lister is one.
type Hosts interface {
	Hosts(ctx context.Context) ([]topology.Host, error)
}

// Effects describes in short lines what the planner would do after a change.
type Effects interface {
	Effects(ctx context.Context, before, after *declaration.Set) ([]string, error)
}

// Config is what a Server needs. Owners, Hosts and Effects may be nil.
type Config struct {
	Host      topology.HostName
	Settings  Settings
	Inventory declaration.Inventory
	Writer    Writer
	Follower  Follower
	Bus       peersync.Bus
	Owners    Owners
	Hosts     Hosts
	Effects   Effects
	Log       *zap.Logger
}

// Server answers operators' requests below /v1/.
type Server struct {
	config Config
	log    *zap.Logger
	auth   *authenticator
	router *httprouter.Router
}

// New returns a server; it refuses settings that expose the interface without
// protection.
func New(config Config) (*Server, error) {
	if err := config.Settings.Check(); err != nil {
		return nil, err
	}
	s := &Server{config: config, log: config.Log.Named("operator"), router: httprouter.New()}
	var err error
	if s.auth, err = newAuthenticator(config.Settings, s.log); err != nil {
		return nil, err
	}
	s.router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		apierror.Write(w, "", apierror.New(apierror.KindNotFound, "no such path %s", r.URL.Path))
	})
	s.router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		apierror.Write(w, "", apierror.New(apierror.KindMethodNotAllowed, "%s is not allowed here", r.Method))
	})
	s.handle(http.MethodGet, "/v1/documents", s.list)
	s.handle(http.MethodGet, "/v1/documents/:kind/:name", s.get)
	s.handle(http.MethodPost, "/v1/diff", s.diff)
	s.handle(http.MethodPost, "/v1/changes", s.apply)
	s.handle(http.MethodGet, "/v1/changes", s.history)
	s.handle(http.MethodPost, "/v1/changes/:id", s.outcome)
	s.handle(http.MethodGet, "/v1/labels", s.labels)
	s.handle(http.MethodGet, "/v1/status", s.status)
	s.handle(http.MethodGet, "/v1/explain", s.explain)
	return s, nil
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// call is one authenticated request.
type call struct {
	*http.Request
	operator string
	params   httprouter.Params
}

func (s *Server) handle(method, path string, answer func(c call) (any, error)) {
	s.router.Handle(method, path, func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		id := rand.Text()
		name, err := s.auth.operator(r)
		var reply any
		if err == nil && method == http.MethodPost && r.Header.Get("Content-Type") != "application/json" {
			// A web page cannot send this type to another address unasked, so
			// it cannot use an operator's browser against a loopback address.
			err = apierror.New(apierror.KindBadRequest, "the Content-Type must be application/json")
		}
		if err == nil {
			r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
			reply, err = answer(call{r, name, params})
		}
		if err != nil {
			kind := apierror.From(err).Kind
			s.log.Check(apierror.ResponseFor(kind).LogLevel, "operator: request refused").Write(zap.String("request", id),
				zap.String("operator", name), zap.String("method", method), zap.String("path", r.URL.Path), zap.Error(err))
			apierror.Write(w, id, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set(apierror.HeaderRequestID, id)
		// The operator may be gone; the status line is all that can still be told.
		_ = json.NewEncoder(w).Encode(reply)
	})
}

func (c call) decode(into any) error {
	decoder := json.NewDecoder(c.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return apierror.New(apierror.KindTooLarge, "the request has more than %d bytes", tooLarge.Limit)
		}
		return apierror.New(apierror.KindBadRequest, "the request is not valid JSON: %v", err)
	}
	return nil
}

func (s *Server) list(c call) (any, error) {
	set := s.config.Follower.Current()
	reply := api.Documents{Revision: set.Revision(), Documents: []*declaration.Document{}}
	kind := c.URL.Query().Get("kind")
	if kind != "" {
		parsed, err := declaration.ParseKind(kind)
		if err != nil {
			return nil, apierror.New(apierror.KindBadRequest, "%v", err)
		}
		kind = string(parsed)
	}
	for _, d := range declaration.Sorted(set.Documents()) {
		if kind == "" || string(d.Kind) == kind {
			reply.Documents = append(reply.Documents, d)
		}
	}
	return reply, nil
}

func (s *Server) get(c call) (any, error) {
	kind, err := declaration.ParseKind(c.params.ByName("kind"))
	if err != nil {
		return nil, apierror.New(apierror.KindBadRequest, "%v", err)
	}
	key := declaration.Key{Kind: kind, Name: c.params.ByName("name")}
	d := s.config.Follower.Current().Get(key)
	if d == nil {
		return nil, apierror.New(apierror.KindNotFound, "there is no document %s", key)
	}
	return d, nil
}

func (s *Server) apply(c call) (any, error) {
	var change configsync.Change
	if err := c.decode(&change); err != nil {
		return nil, err
	}
	change.Author = c.operator
	ctx, cancel := context.WithTimeout(c.Context(), changeTimeout)
	defer cancel()
	return s.config.Writer.Apply(ctx, change)
}

func (s *Server) diff(c call) (any, error) {
	var change configsync.Change
	if err := c.decode(&change); err != nil {
		return nil, err
	}
	if err := change.Check(); err != nil {
		return nil, err
	}
	before := s.config.Follower.Current()
	result, after, err := configsync.Preview(before, change, s.config.Inventory)
	if err != nil {
		return nil, err
	}
	reply := api.Diff{Revision: before.Revision(), Documents: []api.DocumentDiff{}, Warnings: result.Warnings}
	for _, e := range result.Edits {
		reply.Documents = append(reply.Documents, documentDiff(e, before.Get(e.Document), after.Get(e.Document)))
	}
	if s.config.Effects != nil && len(result.Edits) > 0 {
		if reply.Effects, err = s.config.Effects.Effects(c.Context(), before, after); err != nil {
			return nil, fmt.Errorf("effect of the change: %w", err)
		}
	}
	return reply, nil
}

func documentDiff(e configsync.AcceptedEdit, before, after *declaration.Document) api.DocumentDiff {
	out := api.DocumentDiff{Document: e.Document, Action: e.Action}
	old, now := before.FieldValues(), after.FieldValues()
	names := e.Fields
	if e.Action != configsync.ActionChanged {
		names = nil
		for name := range old {
			names = append(names, name)
		}
		for name := range now {
			names = append(names, name)
		}
		slices.Sort(names)
	}
	for _, name := range names {
		d := api.FieldDiff{Field: name}
		if v, ok := old[name]; ok {
			d.Before = &v
		}
		if v, ok := now[name]; ok {
			d.After = &v
		}
		out.Fields = append(out.Fields, d)
	}
	return out
}
