package auth

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

// KeyFiles holds the names of the key files. An empty name means none.
type KeyFiles struct {
	// Certificate and PrivateKey are PEM files with this process's own
	// certificate and key.
	Certificate string
	PrivateKey  string
	// FleetCA is a PEM file with the CAs of members' certificates, OperatorCA
	// one with the CAs of operators' certificates.
	FleetCA    string
	OperatorCA string
	// OperatorTokens is a file with one operator per line: name, role, and the
	// SHA-256 of the token in hex. The tokens themselves are not stored
	// anywhere.
	OperatorTokens string
}

// Credentials holds the contents of the files when they were last valid.
type Credentials struct {
	Certificate *tls.Certificate
	FleetCAs    *x509.CertPool
	OperatorCAs *x509.CertPool
	tokens      map[[sha256.Size]byte]Principal
	// digest is a hash of the files' contents, to detect changes.
	digest [sha256.Size]byte
}

// FileError reports that a key file can't be used.
type FileError struct {
	// Setting is the key in the settings that holds the file name.
	Setting string
	File    string
	Cause   error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s %s: %v", e.Setting, e.File, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificateError reports that a file contains no certificate.
type NoCertificateError struct{}

func (e *NoCertificateError) Error() string { return "holds no PEM certificate" }

// TokenLineError reports an invalid line of a token file. It doesn't include
// the line, which may contain a token by mistake.
type TokenLineError struct {
	Line int
	Want string
}

func (e *TokenLineError) Error() string { return fmt.Sprintf("line %d: want %s", e.Line, e.Want) }

// Load reads all files. It returns *FileError.
func Load(files KeyFiles) (*Credentials, error) {
	c := &Credentials{tokens: make(map[[sha256.Size]byte]Principal)}
	r := &fileReader{}
	certificate, key := r.read("certificate", files.Certificate), r.read("private_key", files.PrivateKey)
	fleet, operators := r.read("fleet_ca", files.FleetCA), r.read("operator_ca", files.OperatorCA)
	tokens := r.read("operator_tokens", files.OperatorTokens)
	if r.err != nil {
		return nil, r.err
	}
	c.digest = sha256.Sum256(r.all)
	if files.Certificate != "" {
		pair, err := tls.X509KeyPair(certificate, key)
		if err != nil {
			return nil, &FileError{Setting: "certificate", File: files.Certificate, Cause: err}
		}
		c.Certificate = &pair
	}
	var err error
	if c.FleetCAs, err = certPool("fleet_ca", files.FleetCA, fleet); err != nil {
		return nil, err
	}
	if c.OperatorCAs, err = certPool("operator_ca", files.OperatorCA, operators); err != nil {
		return nil, err
	}
	return c, c.parseTokens(files.OperatorTokens, tokens)
}

type fileReader struct {
	all []byte
	err error
}

func (r *fileReader) read(setting, file string) []byte {
	if file == "" || r.err != nil {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		r.err = &FileError{Setting: setting, File: file, Cause: err}
	}
	r.all = append(append(r.all, setting...), data...)
	return data
}

func certPool(setting, file string, data []byte) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(data) {
		return nil, &FileError{Setting: setting, File: file, Cause: &NoCertificateError{}}
	}
	return p, nil
}

func (c *Credentials) parseTokens(file string, data []byte) error {
	for i, line := range strings.Split(string(data), "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if err := c.parseToken(i+1, fields); err != nil {
			return &FileError{Setting: "operator_tokens", File: file, Cause: err}
		}
	}
	return nil
}

func (c *Credentials) parseToken(line int, fields []string) error {
	if len(fields) != 3 {
		return &TokenLineError{Line: line, Want: "a name, a role and the SHA-256 of a token"}
	}
	role := Role(fields[1])
	if roleRank[role] == 0 {
		return &TokenLineError{Line: line, Want: "one of the roles read, write, break-glass"}
	}
	sum, err := hex.DecodeString(fields[2])
	if err != nil || len(sum) != sha256.Size {
		return &TokenLineError{Line: line, Want: "64 hex digits, the SHA-256 of a token"}
	}
	c.tokens[[sha256.Size]byte(sum)] = Principal{Name: fields[0], Role: role}
	return nil
}

// principalForToken looks a token up by its hash, so that the time taken
// reveals nothing about the stored tokens.
func (c *Credentials) principalForToken(token string) (Principal, bool) {
	p, known := c.tokens[sha256.Sum256([]byte(token))]
	return p, known
}
