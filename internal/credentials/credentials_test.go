package credentials

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// authority is a certificate authority that issues certificates for 127.0.0.1.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{}
	a.certificate, a.key = issue(t, nil)
	return a
}

func issue(t *testing.T, issuer *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:        issuer == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.certificate, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return certificate, key
}

// writeTLSFiles writes the files of a host whose certificate is signed by issuer
// and that accepts certificates of trusted.
func writeTLSFiles(t *testing.T, dir string, issuer, trusted *authority) TLSFiles {
	t.Helper()
	certificate, key := issue(t, issuer)
	der, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := TLSFiles{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: certificate.Raw},
		files.Key:  {Type: "EC PRIVATE KEY", Bytes: der},
		files.CA:   {Type: "CERTIFICATE", Bytes: trusted.certificate.Raw},
	} {
		assert.NilError(t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

// handshake connects client to server over loopback and returns the first error
// of either.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer listener.Close()
	result := make(chan error, 1)
	go func() {
		c, err := listener.Accept()
		if err == nil {
			err = c.(*tls.Conn).Handshake()
			defer c.Close()
		}
		result <- err
	}()
	c, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		defer c.Close()
	}
	if serverErr := <-result; serverErr != nil {
		return serverErr
	}
	return err
}

// Guards against hosts that accept a certificate of an unknown authority, and
// against credentials that need a restart to be replaced.
func TestHostsVerifyEachOtherAndReload(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	server, err := writeTLSFiles(t, serverDir, trusted, trusted).ServerConfig(zap.NewNop(), tls.RequireAndVerifyClientCert)
	assert.NilError(t, err)
	client, err := writeTLSFiles(t, clientDir, trusted, trusted).ClientConfig(zap.NewNop())
	assert.NilError(t, err)
	assert.NilError(t, handshake(t, server, client))

	untrustedClient, err := writeTLSFiles(t, t.TempDir(), other, trusted).ClientConfig(zap.NewNop())
	assert.NilError(t, err)
	assert.Assert(t, handshake(t, server, untrustedClient) != nil, "the server accepted a client of another authority")
	distrustingClient, err := writeTLSFiles(t, t.TempDir(), trusted, other).ClientConfig(zap.NewNop())
	assert.NilError(t, err)
	assert.Assert(t, handshake(t, server, distrustingClient) != nil, "the client accepted a server of another authority")

	writeTLSFiles(t, serverDir, other, other)
	assert.Assert(t, handshake(t, server, client) != nil, "the server kept its old credentials")
	writeTLSFiles(t, clientDir, other, other)
	assert.NilError(t, handshake(t, server, client))

	assert.NilError(t, os.WriteFile(filepath.Join(serverDir, "cert"), []byte("half a file"), 0o600))
	assert.NilError(t, handshake(t, server, client), "a file that cannot be parsed must not replace the last good one")
}
