package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"go.uber.org/zap"
)

// TLSFiles names PEM files.
type TLSFiles struct {
	Cert, Key string
	// CA verifies the other side.
	CA string
}

// material is what the files hold.
type material struct {
	certificate tls.Certificate
	pool        *x509.CertPool // nil without a CA file
}

func (f TLSFiles) reloaded(log *zap.Logger) *Reloaded[*material] {
	files := []string{f.Cert, f.Key}
	if f.CA != "" {
		files = append(files, f.CA)
	}
	return NewReloaded(log, files, func(data [][]byte) (*material, error) {
		certificate, err := tls.X509KeyPair(data[0], data[1])
		if err != nil {
			return nil, err
		}
		m := &material{certificate: certificate}
		if len(data) > 2 {
			m.pool = x509.NewCertPool()
			if !m.pool.AppendCertsFromPEM(data[2]) {
				return nil, fmt.Errorf("%s holds no certificate", f.CA)
			}
		}
		return m, nil
	})
}

// Server returns the configuration of a server. Clients are asked for a
// certificate as auth says if there is a CA file. The files are looked at anew
// for each handshake.
func (f TLSFiles) Server(log *zap.Logger, auth tls.ClientAuthType) (*tls.Config, error) {
	load := f.reloaded(log)
	current := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m, err := load.Get()
		if err != nil {
			return nil, err
		}
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{m.certificate}, NextProtos: []string{"h2", "http/1.1"}}
		if m.pool != nil {
			c.ClientCAs, c.ClientAuth = m.pool, auth
		}
		return c, nil
	}
	c, err := current(nil)
	if err != nil {
		return nil, err
	}
	c.GetConfigForClient = current
	return c, nil
}

// Client returns the configuration of a client that shows the certificate and
// verifies servers by the CA file, or by the system's authorities without one.
func (f TLSFiles) Client(log *zap.Logger) (*tls.Config, error) {
	load := f.reloaded(log)
	if _, err := load.Get(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m, err := load.Get()
			if err != nil {
				return nil, err
			}
			return &m.certificate, nil
		},
		// The library would verify with the authorities read at the start.
		// VerifyConnection does the same verification with those of now.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			m, err := load.Get()
			if err != nil {
				return err
			}
			intermediates := x509.NewCertPool()
			for _, c := range state.PeerCertificates[1:] {
				intermediates.AddCert(c)
			}
			_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: m.pool, Intermediates: intermediates, DNSName: state.ServerName,
			})
			return err
		},
	}, nil
}
