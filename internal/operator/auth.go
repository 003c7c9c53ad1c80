package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/credentials"
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
		files := credentials.TLSFiles{Cert: s.CertFile, Key: s.KeyFile, CA: s.ClientCAFile}
		// The health endpoints on the same address take no certificate;
		// authenticate demands it for the rest.
		if tlsConfig, err = files.ServerConfig(log.Named("operator"), tls.VerifyClientCertIfGiven); err != nil {
			return nil, err
		}
	}
	listener, err := listen(ctx, s.Listen)
	if err != nil || tlsConfig == nil {
		return listener, err
	}
	return tls.NewListener(listener, tlsConfig), nil
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
	tokens   *credentials.Reloader[[]token]
}

func newAuthenticator(s Settings, log *zap.Logger) (*authenticator, error) {
	a := &authenticator{settings: s}
	if s.TokenFile == "" {
		return a, nil
	}
	a.tokens = credentials.NewReloader(log, []string{s.TokenFile}, parseTokens)
	_, err := a.tokens.Get()
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
	tokens, err := a.tokens.Get()
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
