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

// Files name the files that keys are read from. An empty name means none.
type Files struct {
	// Certificate and PrivateKey are this process's own, PEM.
	Certificate string
	PrivateKey  string
	// FleetCA holds the CAs whose certificates members carry, OperatorCA those
	// of operators, PEM.
	FleetCA    string
	OperatorCA string
	// OperatorTokens holds one operator a line: name, role, and the SHA-256 of
	// the token in hex. The tokens themselves are stored nowhere.
	OperatorTokens string
}

// Credentials is what the files held when they were last good.
type Credentials struct {
	Certificate *tls.Certificate
	FleetCAs    *x509.CertPool
	OperatorCAs *x509.CertPool
	tokens      map[[sha256.Size]byte]Principal
	// digest tells two contents of the files apart.
	digest [sha256.Size]byte
}

// FileError says that a file of keys can't be used.
type FileError struct {
	// Setting is the key in the settings that names the file.
	Setting string
	File    string
	Cause   error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s %s: %v", e.Setting, e.File, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificateError says that a file holds no certificate.
type NoCertificateError struct{}

func (e *NoCertificateError) Error() string { return "holds no PEM certificate" }

// TokenLineError names a faulty line of a file of tokens. It doesn't repeat
// the line: someone may have put the token itself there.
type TokenLineError struct {
	Line int
	Want string
}

func (e *TokenLineError) Error() string { return fmt.Sprintf("line %d: want %s", e.Line, e.Want) }

// Load reads all files. It returns *FileError.
func Load(files Files) (*Credentials, error) {
	m := &Credentials{tokens: make(map[[sha256.Size]byte]Principal)}
	r := &reader{}
	certificate, key := r.read("certificate", files.Certificate), r.read("private_key", files.PrivateKey)
	fleet, operators := r.read("fleet_ca", files.FleetCA), r.read("operator_ca", files.OperatorCA)
	tokens := r.read("operator_tokens", files.OperatorTokens)
	if r.err != nil {
		return nil, r.err
	}
	m.digest = sha256.Sum256(r.all)
	if files.Certificate != "" {
		pair, err := tls.X509KeyPair(certificate, key)
		if err != nil {
			return nil, &FileError{Setting: "certificate", File: files.Certificate, Cause: err}
		}
		m.Certificate = &pair
	}
	var err error
	if m.FleetCAs, err = pool("fleet_ca", files.FleetCA, fleet); err != nil {
		return nil, err
	}
	if m.OperatorCAs, err = pool("operator_ca", files.OperatorCA, operators); err != nil {
		return nil, err
	}
	return m, m.parseTokens(files.OperatorTokens, tokens)
}

type reader struct {
	all []byte
	err error
}

func (r *reader) read(setting, file string) []byte {
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

func pool(setting, file string, data []byte) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(data) {
		return nil, &FileError{Setting: setting, File: file, Cause: &NoCertificateError{}}
	}
	return p, nil
}

func (m *Credentials) parseTokens(file string, data []byte) error {
	for i, line := range strings.Split(string(data), "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if err := m.parseToken(i+1, fields); err != nil {
			return &FileError{Setting: "operator_tokens", File: file, Cause: err}
		}
	}
	return nil
}

func (m *Credentials) parseToken(line int, fields []string) error {
	if len(fields) != 3 {
		return &TokenLineError{Line: line, Want: "a name, a role and the SHA-256 of a token"}
	}
	role := Role(fields[1])
	if rank[role] == 0 {
		return &TokenLineError{Line: line, Want: "one of the roles read, write, break-glass"}
	}
	sum, err := hex.DecodeString(fields[2])
	if err != nil || len(sum) != sha256.Size {
		return &TokenLineError{Line: line, Want: "64 hex digits, the SHA-256 of a token"}
	}
	m.tokens[[sha256.Size]byte(sum)] = Principal{Name: fields[0], Role: role}
	return nil
}

// byToken looks a token up by its hash, so that the time taken says nothing
// about the tokens there are.
func (m *Credentials) byToken(token string) (Principal, bool) {
	p, known := m.tokens[sha256.Sum256([]byte(token))]
	return p, known
}
