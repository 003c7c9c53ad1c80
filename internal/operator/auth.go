package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/operator/api"
)

// Settings are the operator's part of the settings file.
type Settings struct {
	// Listen is the admin address. Addresses beyond loopback need TLS and
	// authentication.
	Listen   string `yaml:"listen"`
	CertFile string `yaml:"certFile"`
	KeyFile  string `yaml:"keyFile"`
	// ClientCAFile turns on authentication by client certificate.
	ClientCAFile string `yaml:"clientCAFile"`
	// TokenFile turns on authentication by bearer token. Each line holds an
	// operator's name and the SHA-256 hash of the token in hexadecimal.
	TokenFile string `yaml:"tokenFile"`
}

// Check refuses settings that would expose the interface without protection.
func (s Settings) Check() error {
	host, _, err := net.SplitHostPort(s.Listen)
	if err != nil {
		return fmt.Errorf("operator address %q: %w", s.Listen, err)
	}
	if (s.CertFile == "") != (s.KeyFile == "") {
		return errors.New("operator: certFile and keyFile must be given together")
	}
	if s.ClientCAFile != "" && s.CertFile == "" {
		return errors.New("operator: clientCAFile needs certFile and keyFile")
	}
	ip := net.ParseIP(host)
	if ip != nil && ip.IsLoopback() {
		return nil
	}
	if s.CertFile == "" || !s.authenticates() {
		return fmt.Errorf("operator address %s is not a loopback address: it needs certFile, keyFile and a tokenFile or clientCAFile", s.Listen)
	}
	return nil
}

func (s Settings) authenticates() bool { return s.TokenFile != "" || s.ClientCAFile != "" }

// ListenFunc opens a TCP address.
type ListenFunc func(ctx context.Context, address string) (net.Listener, error)

// Open opens the admin address, with TLS if the settings say so.
func (s Settings) Open(ctx context.Context, listen ListenFunc, log *zap.Logger) (net.Listener, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	var tlsConfig *tls.Config
	if s.CertFile != "" {
		var err error
		if tlsConfig, err = s.tlsConfig(log.Named("operator")); err != nil {
			return nil, err
		}
	}
	listener, err := listen(ctx, s.Listen)
	if err != nil || tlsConfig == nil {
		return listener, err
	}
	return tls.NewListener(listener, tlsConfig), nil
}

// tlsConfig reads the certificate and the client authorities anew for each
// handshake if the files have changed.
func (s Settings) tlsConfig(log *zap.Logger) (*tls.Config, error) {
	load := &reloaded[*tls.Config]{log: log, files: []string{s.CertFile, s.KeyFile}}
	if s.ClientCAFile != "" {
		load.files = append(load.files, s.ClientCAFile)
	}
	load.parse = func(data [][]byte) (*tls.Config, error) {
		certificate, err := tls.X509KeyPair(data[0], data[1])
		if err != nil {
			return nil, err
		}
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}, NextProtos: []string{"h2", "http/1.1"}}
		if len(data) > 2 {
			c.ClientCAs = x509.NewCertPool()
			if !c.ClientCAs.AppendCertsFromPEM(data[2]) {
				return nil, fmt.Errorf("%s holds no certificate", s.ClientCAFile)
			}
			// The health endpoints on the same address take no certificate;
			// authenticate demands it for the rest.
			c.ClientAuth = tls.VerifyClientCertIfGiven
		}
		return c, nil
	}
	first, err := load.get()
	if err != nil {
		return nil, err
	}
	c := first.Clone()
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return load.get() }
	return c, nil
}

// reloaded is a value parsed from files that is parsed again when they change.
type reloaded[T any] struct {
	log   *zap.Logger
	files []string
	parse func(data [][]byte) (T, error)

	mu    sync.Mutex
	last  [][]byte
	value T
	ok    bool
}

// get returns the value of the files as they are now. While they cannot be read
// or parsed, for instance halfway through a replacement, the last good value
// stays.
func (r *reloaded[T]) get() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := r.read()
	if err == nil && r.ok && bytes.Equal(bytes.Join(data, nil), bytes.Join(r.last, nil)) {
		return r.value, nil
	}
	var value T
	if err == nil {
		value, err = r.parse(data)
	}
	switch {
	case err == nil:
		if r.ok {
			r.log.Info("operator: credentials reloaded", zap.Strings("files", r.files))
		}
		r.value, r.last, r.ok = value, data, true
	case r.ok:
		r.log.Error("operator: cannot reload credentials, keeping the old ones", zap.Error(err))
		err = nil
	}
	return r.value, err
}

func (r *reloaded[T]) read() ([][]byte, error) {
	var out [][]byte
	for _, name := range r.files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		out = append(out, data)
	}
	return out, nil
}

// token is one line of the token file.
type token struct {
	operator string
	hash     [sha256.Size]byte
}

func parseTokens(data [][]byte) ([]token, error) {
	var out []token
	for i, line := range strings.Split(string(data[0]), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		// The line is not quoted in the error: a careless operator may have
		// put the token itself there.
		t := token{operator: fields[0]}
		if len(fields) != 2 {
			return nil, fmt.Errorf("token file, line %d: expected a name and a SHA-256 hash", i+1)
		}
		hash, err := hex.DecodeString(strings.TrimPrefix(fields[1], "sha256:"))
		if err != nil || len(hash) != sha256.Size {
			return nil, fmt.Errorf("token file, line %d: the hash is not a SHA-256 hash in hexadecimal", i+1)
		}
		copy(t.hash[:], hash)
		out = append(out, t)
	}
	return out, nil
}

// authenticator finds out who sends a request.
type authenticator struct {
	settings Settings
	tokens   *reloaded[[]token]
}

func newAuthenticator(s Settings, log *zap.Logger) (*authenticator, error) {
	a := &authenticator{settings: s}
	if s.TokenFile == "" {
		return a, nil
	}
	a.tokens = &reloaded[[]token]{log: log, files: []string{s.TokenFile}, parse: parseTokens}
	_, err := a.tokens.get()
	return a, err
}

// operator returns the name of the operator who sent r.
func (a *authenticator) operator(r *http.Request) (string, error) {
	if !a.settings.authenticates() {
		if name := r.Header.Get(api.HeaderOperator); name != "" {
			return "local:" + name, nil
		}
		return "local", nil
	}
	if a.settings.ClientCAFile != "" && r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		if name := r.TLS.VerifiedChains[0][0].Subject.CommonName; name != "" {
			return name, nil
		}
		return "", apierror.New(apierror.KindUnauthorized, "the client certificate has no common name")
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || a.tokens == nil {
		return "", apierror.New(apierror.KindUnauthorized, "a %s is needed", a.needed())
	}
	tokens, err := a.tokens.get()
	if err != nil {
		return "", apierror.New(apierror.KindInternal, "the token file cannot be read")
	}
	hash := sha256.Sum256([]byte(secret))
	name := ""
	// Every token is compared, so that the time does not tell which matched.
	for _, t := range tokens {
		if subtle.ConstantTimeCompare(hash[:], t.hash[:]) == 1 {
			name = t.operator
		}
	}
	if name == "" {
		return "", apierror.New(apierror.KindUnauthorized, "the bearer token is not known")
	}
	return name, nil
}

func (a *authenticator) needed() string {
	switch {
	case a.tokens == nil:
		return "client certificate"
	case a.settings.ClientCAFile == "":
		return "bearer token"
	}
	return "bearer token or client certificate"
}
