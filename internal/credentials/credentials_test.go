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

// authority issues certificates for 127.0.0.1.
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

func issue(t *testing.T, by *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:        by == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	parent, signer := template, key
	if by != nil {
		parent, signer = by.certificate, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return certificate, key
}

// write writes the files of a host whose certificate by issued and that trusts
// the other authority.
func write(t *testing.T, dir string, by, trusts *authority) TLSFiles {
	t.Helper()
	certificate, key := issue(t, by)
	der, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := TLSFiles{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: certificate.Raw},
		files.Key:  {Type: "EC PRIVATE KEY", Bytes: der},
		files.CA:   {Type: "CERTIFICATE", Bytes: trusts.certificate.Raw},
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

// Guards against a host that talks to a stranger, and against credentials that
// need a restart to be replaced.
func TestHostsVerifyEachOtherAndReload(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	server, err := write(t, serverDir, ours, ours).Server(zap.NewNop(), tls.RequireAndVerifyClientCert)
	assert.NilError(t, err)
	client, err := write(t, clientDir, ours, ours).Client(zap.NewNop())
	assert.NilError(t, err)
	assert.NilError(t, handshake(t, server, client))

	stranger, err := write(t, t.TempDir(), theirs, ours).Client(zap.NewNop())
	assert.NilError(t, err)
	assert.Assert(t, handshake(t, server, stranger) != nil, "the server accepted a client of another authority")
	wary, err := write(t, t.TempDir(), ours, theirs).Client(zap.NewNop())
	assert.NilError(t, err)
	assert.Assert(t, handshake(t, server, wary) != nil, "the client accepted a server of another authority")

	write(t, serverDir, theirs, theirs)
	assert.Assert(t, handshake(t, server, client) != nil, "the server kept its old credentials")
	write(t, clientDir, theirs, theirs)
	assert.NilError(t, handshake(t, server, client))

	assert.NilError(t, os.WriteFile(filepath.Join(serverDir, "cert"), []byte("half a file"), 0o600))
	assert.NilError(t, handshake(t, server, client), "a file that cannot be parsed must not replace the last good one")
}
