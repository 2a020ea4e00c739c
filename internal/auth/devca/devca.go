// Package devca makes certificates for glade-dev and for tests. Its CA lives
// in one process's memory; nothing of it is meant for a real fleet.
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

// validity is how long certificates are good for when nothing else is asked.
const validity = 24 * time.Hour

// CA issues certificates.
type CA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// PEM is the CA's own certificate.
	PEM []byte
}

// KeyPair is a certificate with its key, PEM.
type KeyPair struct{ Certificate, Key []byte }

// New returns a CA with a fresh key.
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

// Issue returns a certificate for name in the given role, good for the given
// IP numbers. A zero notAfter means a day from now.
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
