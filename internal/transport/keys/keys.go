// Package keys makes and checks the certificates with which the members of a gateway
// authenticate each other: a certificate authority of the operators' own, one certificate per
// member with the member's name, and a certificate revocation list. The files are read again
// for each connection, so that renewed ones take effect without a restart, and the
// certificates of open connections are checked again periodically.
package keys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"time"
)

// File names in a directory of keys.
const (
	AuthorityCert = "authority.crt"
	AuthorityKey  = "authority.key"
	RevokedCerts  = "revoked.crl"
)

// Default validity of certificates in days.
const (
	AuthorityDays = 3650
	MemberDays    = 90
)

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?$`)

// ValidName reports whether a member can have this name. The name is the DNS name in the
// member's certificate.
func ValidName(name string) bool { return validName.MatchString(name) }

// newSerialNumber returns a random serial number of 120 bits for a certificate.
func newSerialNumber() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
}

// writeAtomically writes a file, or replaces it, in one step: after a crash it is complete or
// unchanged.
func writeAtomically(path string, mode os.FileMode, block *pem.Block) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	err = errors.Join(tmp.Chmod(mode), pem.Encode(tmp, block), tmp.Sync(), tmp.Close())
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}

// writeKey writes a private key to a file that only its owner can read.
func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writeAtomically(path, 0o600, &pem.Block{Type: "PRIVATE KEY", Bytes: der})
}

// MakeAuthority makes the key and the self-signed certificate of an authority. It fails if the
// directory has an authority already.
func MakeAuthority(dir string, now time.Time, days int) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, AuthorityKey)); err == nil {
		return fmt.Errorf("%s has an authority already", dir)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	serial, err := newSerialNumber()
	if err != nil {
		return err
	}
	template := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: "dapplestage authority"},
		NotBefore: now.Add(-5 * time.Minute), NotAfter: now.Add(time.Duration(days) * 24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	if err := writeKey(filepath.Join(dir, AuthorityKey), key); err != nil {
		return err
	}
	return writeAtomically(filepath.Join(dir, AuthorityCert), 0o644, &pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// loadAuthority reads the certificate and the key of a directory's authority.
func loadAuthority(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	cert, err := ReadCert(filepath.Join(dir, AuthorityCert))
	if err != nil {
		return nil, nil, err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, AuthorityCert), filepath.Join(dir, AuthorityKey))
	if err != nil {
		return nil, nil, err
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("the authority's key is not an ECDSA key")
	}
	return cert, key, nil
}

// Issue makes a member's certificate and key, replacing earlier ones. The certificate does not
// outlive the authority's.
func Issue(dir, member string, now time.Time, days int) error {
	if !ValidName(member) {
		return fmt.Errorf("member name %q: 1 to 40 of a-z, 0-9 and -, not at an end", member)
	}
	ca, caKey, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	serial, err := newSerialNumber()
	if err != nil {
		return err
	}
	notAfter := now.Add(time.Duration(days) * 24 * time.Hour)
	if notAfter.After(ca.NotAfter) {
		notAfter = ca.NotAfter
	}
	template := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: member}, DNSNames: []string{member},
		NotBefore: now.Add(-5 * time.Minute), NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
	if err != nil {
		return err
	}
	// Certificate and key are in one file, so that a reader never sees the key of another
	// certificate.
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	var combined bytes.Buffer
	pem.Encode(&combined, &pem.Block{Type: "CERTIFICATE", Bytes: der})
	pem.Encode(&combined, &pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	path := MemberFile(dir, member)
	tmp := path + ".new"
	if err := os.WriteFile(tmp, combined.Bytes(), 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// MemberFile returns the path of the file with a member's certificate and key.
func MemberFile(dir, member string) string { return filepath.Join(dir, member+".pem") }

// Revoke adds a member's current certificate to the revocation list.
func Revoke(dir, member string, now time.Time) error {
	ca, caKey, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	cert, err := ReadCert(MemberFile(dir, member))
	if err != nil {
		return err
	}
	list := &x509.RevocationList{Number: big.NewInt(now.UnixNano()), ThisUpdate: now, NextUpdate: now.Add(AuthorityDays * 24 * time.Hour)}
	path := filepath.Join(dir, RevokedCerts)
	if old, err := readRevocationList(path, ca); err == nil {
		list.RevokedCertificateEntries = old.RevokedCertificateEntries
	} else if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	list.RevokedCertificateEntries = append(list.RevokedCertificateEntries, x509.RevocationListEntry{SerialNumber: cert.SerialNumber, RevocationTime: now})
	der, err := x509.CreateRevocationList(rand.Reader, list, ca, caKey)
	if err != nil {
		return err
	}
	return writeAtomically(path, 0o644, &pem.Block{Type: "X509 CRL", Bytes: der})
}

// readRevocationList reads the revocation list and checks the authority's signature.
func readRevocationList(path string, ca *x509.Certificate) (*x509.RevocationList, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("%s: not a certificate revocation list", path)
	}
	list, err := x509.ParseRevocationList(block.Bytes)
	if err == nil {
		err = list.CheckSignatureFrom(ca)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// ReadCert reads the first certificate in a file.
func ReadCert(path string) (*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type == "CERTIFICATE" {
			return x509.ParseCertificate(block.Bytes)
		}
	}
	return nil, fmt.Errorf("%s: no certificate", path)
}

// Describe describes the certificates in a directory, one line each.
func Describe(dir string, now time.Time) ([]string, error) {
	ca, err := ReadCert(filepath.Join(dir, AuthorityCert))
	if err != nil {
		return nil, err
	}
	lines := []string{describeCert("authority", ca, now, nil)}
	list, err := readRevocationList(filepath.Join(dir, RevokedCerts), ca)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.pem"))
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		cert, err := ReadCert(f)
		if err != nil {
			lines = append(lines, err.Error())
			continue
		}
		lines = append(lines, describeCert(strings.TrimSuffix(filepath.Base(f), ".pem"), cert, now, list))
	}
	return lines, nil
}

func describeCert(name string, cert *x509.Certificate, now time.Time, revoked *x509.RevocationList) string {
	state := fmt.Sprintf("%d days left", int(cert.NotAfter.Sub(now).Hours()/24))
	switch {
	case now.After(cert.NotAfter):
		state = "EXPIRED"
	case isRevoked(revoked, cert):
		state = "REVOKED"
	}
	return fmt.Sprintf("%-24s serial %-32x until %s  %s", name, cert.SerialNumber, cert.NotAfter.UTC().Format(time.DateTime), state)
}

func isRevoked(revoked *x509.RevocationList, cert *x509.Certificate) bool {
	if revoked == nil {
		return false
	}
	for _, e := range revoked.RevokedCertificateEntries {
		if e.SerialNumber.Cmp(cert.SerialNumber) == 0 {
			return true
		}
	}
	return false
}

// Files are the paths of a member's own certificate, the authority's certificate and the
// revocation list.
type Files struct{ Member, Authority, Revoked string }

// FilesIn returns the paths of a member's files in a directory.
func FilesIn(dir, member string) Files {
	return Files{MemberFile(dir, member), filepath.Join(dir, AuthorityCert), filepath.Join(dir, RevokedCerts)}
}

// Keyring authenticates a member to others, and others to it, with the current content of its
// files.
type Keyring struct {
	files   Files
	now     func() time.Time
	refused atomic.Int64 // certificates refused so far
}

// Open reads a member's certificate and key and checks that they are valid for this member.
func Open(files Files, member string, now func() time.Time) (*Keyring, error) {
	r := &Keyring{files: files, now: now}
	pair, err := r.loadOwnCert()
	if err != nil {
		return nil, err
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, err
	}
	if err := r.Check(leaf, member); err != nil {
		return nil, fmt.Errorf("%s: %w", files.Member, err)
	}
	return r, nil
}

// loadOwnCert reads the member's own certificate and key.
func (r *Keyring) loadOwnCert() (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(r.files.Member, r.files.Member)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", r.files.Member, err)
	}
	return &pair, nil
}

// Refused returns how many certificates were refused so far.
func (r *Keyring) Refused() int64 { return r.refused.Load() }

// RemainingValidity returns how long this member's own certificate is still valid.
func (r *Keyring) RemainingValidity() (time.Duration, error) {
	c, err := ReadCert(r.files.Member)
	if err != nil {
		return 0, err
	}
	return c.NotAfter.Sub(r.now()), nil
}

// Check checks a certificate of a member. The error tells what is wrong: it is of another
// authority, has expired, is revoked or is for another name. If member is empty any name is
// accepted.
func (r *Keyring) Check(cert *x509.Certificate, member string) error {
	err := r.check(cert, member)
	if err != nil {
		r.refused.Add(1)
	}
	return err
}

func (r *Keyring) check(cert *x509.Certificate, member string) error {
	ca, err := ReadCert(r.files.Authority)
	if err != nil {
		return err
	}
	name := MemberName(cert)
	if member != "" && name != member {
		return fmt.Errorf("certificate is made out to %q, not to %q", name, member)
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca)
	_, err = cert.Verify(x509.VerifyOptions{Roots: pool, CurrentTime: r.now(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	var invalid x509.CertificateInvalidError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return fmt.Errorf("certificate of %q has expired or is not valid yet (until %s)", name, cert.NotAfter.UTC().Format(time.DateTime))
	case err != nil:
		return fmt.Errorf("certificate of %q is not from our authority: %v", name, err)
	}
	list, err := readRevocationList(r.files.Revoked, ca)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err // without the list it is not known which certificates are revoked
	}
	if isRevoked(list, cert) {
		return fmt.Errorf("certificate of %q is revoked", name)
	}
	return nil
}

// MemberName returns the name of the member that a certificate is for, or "" if it is not a
// member's.
func MemberName(cert *x509.Certificate) string {
	if len(cert.DNSNames) != 1 {
		return ""
	}
	return cert.DNSNames[0]
}

// ServerConfig returns the TLS configuration of a server that accepts members only. onRefusal
// is called with the reason when a certificate is refused.
func (r *Keyring) ServerConfig(isMember func(member string) bool, onRefusal func(error)) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert, SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.loadOwnCert() },
		VerifyConnection: func(s tls.ConnectionState) error {
			err := r.Check(s.PeerCertificates[0], "")
			if name := MemberName(s.PeerCertificates[0]); err == nil && !isMember(name) {
				r.refused.Add(1)
				err = fmt.Errorf("certificate of %q, who is no member", name)
			}
			if err != nil {
				onRefusal(err)
			}
			return err
		}}
}

// ClientConfig returns the TLS configuration of connections to one member. onRefusal is called
// with the reason when the certificate is refused.
func (r *Keyring) ClientConfig(member string, onRefusal func(error)) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain instead, against the current files, and
		// the name in the certificate, which is the member's and not the host's.
		InsecureSkipVerify:   true,
		ServerName:           member,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.loadOwnCert() },
		VerifyConnection: func(s tls.ConnectionState) error {
			err := r.Check(s.PeerCertificates[0], member)
			if err != nil {
				onRefusal(err)
			}
			return err
		}}
}
