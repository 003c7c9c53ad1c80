package operator

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/operator/api"
	"github.com/cassiasill/cassiasill/internal/peersync"
)

// fakeParts supplies a server with an empty set and records changes.
type fakeParts struct {
	peersync.Bus
	change configsync.Change
	err    error
}

func (f *fakeParts) Apply(_ context.Context, c configsync.Change) (configsync.Result, error) {
	f.change = c
	return configsync.Result{ID: c.ID}, f.err
}
func (f *fakeParts) Outcome(context.Context, string) (configsync.Accepted, error) {
	return configsync.Accepted{}, nil
}
func (f *fakeParts) History(context.Context) ([]configsync.Accepted, error) { return nil, nil }
func (f *fakeParts) List(string) []peersync.Topic                           { return nil }
func (f *fakeParts) Fresh() bool                                            { return true }
func (f *fakeParts) Current() *declaration.Set {
	return declaration.Compile(0, nil, declaration.Inventory{Services: []declaration.Service{{Name: "orders"}}})
}

// start serves the interface on a real port and returns its address.
func start(t *testing.T, settings Settings, log *zap.Logger) (*fakeParts, string) {
	t.Helper()
	parts := &fakeParts{}
	server, err := New(Config{Host: "host-1", Settings: settings, Writer: parts, Follower: parts, Bus: parts, Log: log})
	assert.NilError(t, err)
	listener, err := settings.Open(t.Context(), listenTCP, log)
	assert.NilError(t, err)
	h := &http.Server{Handler: server, ErrorLog: zap.NewStdLog(zap.NewNop())}
	done := make(chan struct{})
	go func() { defer close(done); _ = h.Serve(listener) }()
	t.Cleanup(func() { _ = h.Close(); <-done })
	return parts, listener.Addr().String()
}

// send sends a request and returns the status and the body.
func send(t *testing.T, c *http.Client, method, url, token, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(api.HeaderOperator, "somebody")
	if body != "text" {
		request.Header.Set("Content-Type", "application/json")
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := c.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	var b bytes.Buffer
	_, err = b.ReadFrom(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, b.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func tokenLine(name, token string) string {
	return fmt.Sprintf("%s sha256:%x\n", name, sha256.Sum256([]byte(token)))
}

const oneChange = `{"id":"change-0001","edits":[{"key":"ServerLabels/a","baseAbsent":true}]}`

// Guards against an interface beyond loopback that anybody can use, and against
// a host that starts without the protection that its settings ask for.
func TestSettingsRefuseExposure(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
		want     string
	}{
		{"loopback", Settings{Listen: "127.0.0.1:0"}, ""},
		{"loopback v6", Settings{Listen: "[::1]:0"}, ""},
		{"all addresses", Settings{Listen: ":18180"}, "is not a loopback address"},
		{"name", Settings{Listen: "localhost:18180"}, "is not a loopback address"},
		{"token without TLS", Settings{Listen: "10.0.0.1:1", TokenFile: "x"}, "is not a loopback address"},
		{"TLS without authentication", Settings{Listen: "10.0.0.1:1", CertFile: "x", KeyFile: "y"}, "is not a loopback address"},
		{"complete", Settings{Listen: "10.0.0.1:1", CertFile: "x", KeyFile: "y", TokenFile: "z"}, ""},
		{"client authorities without TLS", Settings{Listen: "127.0.0.1:1", ClientCAFile: "x"}, "needs certFile"},
		{"no address", Settings{}, "operator address"},
	} {
		err := c.settings.Check()
		if c.want == "" {
			assert.NilError(t, err, c.name)
		} else {
			assert.ErrorContains(t, err, c.want, c.name)
		}
	}
	_, err := New(Config{Settings: Settings{Listen: "127.0.0.1:0", TokenFile: "missing"}, Log: zap.NewNop()})
	assert.ErrorContains(t, err, "missing")
}

// Guards against requests without a valid token, against tokens that stay valid
// after they were removed from the file, against an author that the operator
// chose himself, and against secrets in the log.
func TestTokens(t *testing.T) {
	var logged bytes.Buffer
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&logged), zapcore.DebugLevel))
	file := writeFile(t, filepath.Join(t.TempDir(), "tokens"), "# operators\n"+tokenLine("akua", "first-secret")+tokenLine("kofi", "other-secret"))
	parts, address := start(t, Settings{Listen: "127.0.0.1:0", TokenFile: file}, log)
	url := "http://" + address + "/v1/changes"
	for _, c := range []struct {
		rewrite, token string
		status         int
		author         string
	}{
		{"", "", 401, ""}, {"", "wrong-secret", 401, ""}, {"", "first-secret", 200, "akua"}, {"", "other-secret", 200, "kofi"},
		{tokenLine("kofi", "new-secret"), "first-secret", 401, ""},
		{"", "new-secret", 200, "kofi"},
		{"kofi new-secret-in-clear", "new-secret", 200, "kofi"}, // the unreadable file is not used
	} {
		if c.rewrite != "" {
			writeFile(t, file, c.rewrite)
		}
		parts.change = configsync.Change{}
		status, body := send(t, http.DefaultClient, http.MethodPost, url, c.token, oneChange)
		assert.Equal(t, status, c.status, body)
		assert.Equal(t, parts.change.Author, c.author)
	}
	assert.Assert(t, logged.Len() > 0)
	assert.Assert(t, !strings.Contains(logged.String(), "secret"), "a secret is in the log: %s", logged.String())
}

// authority issues certificates for the tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{}
	a.pem, _ = a.issue(t, "authority")
	return a
}

// issue returns a certificate and its key; the first one is the authority's.
func (a *authority) issue(t *testing.T, name string) (certPEM, keyPEM string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: a.certificate == nil, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	parent, parentKey := a.certificate, a.key
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	assert.NilError(t, err)
	if a.certificate == nil {
		a.certificate, err = x509.ParseCertificate(der)
		assert.NilError(t, err)
		a.key = key
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})), string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
}

// tlsClient trusts the authority and shows a certificate if one is given.
func tlsClient(t *testing.T, trusted *authority, certPEM, keyPEM string) *http.Client {
	t.Helper()
	roots := x509.NewCertPool()
	roots.AddCert(trusted.certificate)
	c := &tls.Config{RootCAs: roots}
	if certPEM != "" {
		certificate, err := tls.X509KeyPair([]byte(certPEM), []byte(keyPEM))
		assert.NilError(t, err)
		c.Certificates = []tls.Certificate{certificate}
	}
	transport := &http.Transport{TLSClientConfig: c, DisableKeepAlives: true}
	return &http.Client{Transport: transport}
}

// Guards against operators without a certificate of the right authority, and
// against certificates that are only read at the start.
func TestClientCertificates(t *testing.T) {
	dir, first, second := t.TempDir(), newAuthority(t), newAuthority(t)
	serverCert, serverKey := first.issue(t, "host-1")
	settings := Settings{
		Listen: "127.0.0.1:0", CertFile: writeFile(t, filepath.Join(dir, "cert"), serverCert),
		KeyFile: writeFile(t, filepath.Join(dir, "key"), serverKey), ClientCAFile: writeFile(t, filepath.Join(dir, "ca"), first.pem),
	}
	parts, address := start(t, settings, zap.NewNop())
	url := "https://" + address + "/v1/changes"
	akuaCert, akuaKey := first.issue(t, "akua")
	kofiCert, kofiKey := second.issue(t, "kofi")
	try := func(trusted *authority, cert, key string) (int, string) {
		parts.change = configsync.Change{}
		status, _ := send(t, tlsClient(t, trusted, cert, key), http.MethodPost, url, "", oneChange)
		return status, parts.change.Author
	}
	for _, c := range []struct {
		trusted   *authority
		cert, key string
		status    int
		author    string
		replace   bool
	}{
		{first, akuaCert, akuaKey, 200, "akua", false},
		{first, "", "", 401, "", false},
		{first, kofiCert, kofiKey, 0, "", false},
		{second, kofiCert, kofiKey, 200, "kofi", true},
		{second, akuaCert, akuaKey, 0, "", false},
	} {
		if c.replace {
			newCert, newKey := second.issue(t, "host-1")
			writeFile(t, settings.CertFile, newCert)
			writeFile(t, settings.KeyFile, newKey)
			writeFile(t, settings.ClientCAFile, second.pem)
		}
		status, author := try(c.trusted, c.cert, c.key)
		assert.Equal(t, status, c.status)
		assert.Equal(t, author, c.author)
	}
}

// Guards against refusals that a program cannot tell apart, or that claim more
// than is known about what was executed.
func TestRefusalsAreProblems(t *testing.T) {
	parts, address := start(t, Settings{Listen: "127.0.0.1:0"}, zap.NewNop())
	for _, c := range []struct {
		method, path, body string
		err                error
		kind               apierror.Kind
		executed           apierror.Executed
	}{
		{"GET", "/v1/nowhere", "", nil, apierror.KindNotFound, "no"},
		{"PUT", "/v1/documents", "", nil, apierror.KindMethodNotAllowed, "no"},
		{"GET", "/v1/documents?kind=ServerLabel", "", nil, apierror.KindBadRequest, "no"},
		{"GET", "/v1/documents/ServerLabels/a", "", nil, apierror.KindNotFound, "no"},
		{"GET", "/v1/explain", "", nil, apierror.KindBadRequest, "no"},
		{"GET", "/v1/labels?service=nowhere", "", nil, apierror.KindNotFound, "no"},
		{"GET", "/v1/changes?limit=x", "", nil, apierror.KindBadRequest, "no"},
		{"POST", "/v1/changes", "text", nil, apierror.KindBadRequest, "no"},
		{"POST", "/v1/changes", `{"id":1}`, nil, apierror.KindBadRequest, "no"},
		{"POST", "/v1/changes", `{"author":"x"}`, nil, apierror.KindBadRequest, "no"},
		{"POST", "/v1/changes", `"` + strings.Repeat("x", maxBodyBytes) + `"`, nil, apierror.KindTooLarge, "no"},
		{"POST", "/v1/diff", `{"id":"change-0001"}`, nil, apierror.KindBadRequest, "no"},
		{"POST", "/v1/changes", oneChange, apierror.New(apierror.KindStoreOutcomeUnknown, "x"), apierror.KindStoreOutcomeUnknown, "unknown"},
		{"POST", "/v1/changes", oneChange, apierror.New(apierror.KindStoreUnavailable, "x"), apierror.KindStoreUnavailable, "no"},
	} {
		parts.err = c.err
		status, body := send(t, http.DefaultClient, c.method, "http://"+address+c.path, "", c.body)
		var problem apierror.Problem
		assert.NilError(t, json.Unmarshal([]byte(body), &problem), body)
		assert.Equal(t, problem.Kind, c.kind, "%s %s: %s", c.method, c.path, body)
		assert.Equal(t, problem.Executed, c.executed)
		assert.Equal(t, status, apierror.ResponseFor(c.kind).Status)
	}
}

func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}
