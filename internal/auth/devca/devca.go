// Package devca issues certificates for glade-dev and for tests. Its CA key is
// held in the memory of one process; it is not intended for production.
package devca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"auburnglade.example/glade/internal/auth"
)

// validity is the default validity of certificates.
const validity = 24 * time.Hour

// CA is a certificate authority.
type CA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// PEM is the CA's own certificate in PEM format.
	PEM []byte
}

// KeyPair is a certificate and its key in PEM format.
type KeyPair struct{ Certificate, Key []byte }

// New returns a CA with a new key.
func New(name string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &CA{certificate: certificate, key: key, PEM: encode("CERTIFICATE", der)}, nil
}

// Issue returns a certificate for name in the given role, valid for the given
// IP addresses. A zero notAfter means 24 hours from now.
func (ca *CA) Issue(name string, role auth.Role, notAfter time.Time, addresses ...net.IP) (KeyPair, error) {
	if notAfter.IsZero() {
		notAfter = time.Now().Add(validity)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{"glade-" + string(role)}},
		NotBefore:    time.Now().Add(-time.Hour), NotAfter: notAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: addresses,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, &key.PublicKey, ca.key)
	if err != nil {
		return KeyPair{}, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{Certificate: encode("CERTIFICATE", der), Key: encode("EC PRIVATE KEY", keyDER)}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
