package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"go.uber.org/zap"
)

// TLSFiles holds the paths of PEM files.
type TLSFiles struct {
	Cert, Key string
	// CA holds the certificates of the authorities that verify the other side.
	CA string
}

// tlsMaterial is the parsed content of the files.
type tlsMaterial struct {
	certificate tls.Certificate
	caPool      *x509.CertPool // nil without a CA file
}

func (f TLSFiles) newReloader(log *zap.Logger) *Reloader[*tlsMaterial] {
	files := []string{f.Cert, f.Key}
	if f.CA != "" {
		files = append(files, f.CA)
	}
	return NewReloader(log, files, func(data [][]byte) (*tlsMaterial, error) {
		certificate, err := tls.X509KeyPair(data[0], data[1])
		if err != nil {
			return nil, err
		}
		m := &tlsMaterial{certificate: certificate}
		if len(data) > 2 {
			m.caPool = x509.NewCertPool()
			if !m.caPool.AppendCertsFromPEM(data[2]) {
				return nil, fmt.Errorf("%s holds no certificate", f.CA)
			}
		}
		return m, nil
	})
}

// ServerConfig returns the configuration of a server, which reads the files again for
// each handshake. If there is a CA file, auth is the policy for client
// certificates; without one, no client certificate is requested.
func (f TLSFiles) ServerConfig(log *zap.Logger, auth tls.ClientAuthType) (*tls.Config, error) {
	reloader := f.newReloader(log)
	currentConfig := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m, err := reloader.Get()
		if err != nil {
			return nil, err
		}
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{m.certificate}, NextProtos: []string{"h2", "http/1.1"}}
		if m.caPool != nil {
			c.ClientCAs, c.ClientAuth = m.caPool, auth
		}
		return c, nil
	}
	c, err := currentConfig(nil)
	if err != nil {
		return nil, err
	}
	c.GetConfigForClient = currentConfig
	return c, nil
}

// ClientConfig returns the configuration of a client that presents the certificate. It
// verifies servers with the CA file or, without one, with the system's authorities.
func (f TLSFiles) ClientConfig(log *zap.Logger) (*tls.Config, error) {
	reloader := f.newReloader(log)
	if _, err := reloader.Get(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m, err := reloader.Get()
			if err != nil {
				return nil, err
			}
			return &m.certificate, nil
		},
		// The default verification would use the authorities that were loaded
		// at the start. VerifyConnection verifies in the same way, but with the
		// current authorities.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			m, err := reloader.Get()
			if err != nil {
				return err
			}
			intermediates := x509.NewCertPool()
			for _, c := range state.PeerCertificates[1:] {
				intermediates.AddCert(c)
			}
			_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: m.caPool, Intermediates: intermediates, DNSName: state.ServerName,
			})
			return err
		},
	}, nil
}
