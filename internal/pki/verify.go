package pki

import (
	"crypto/x509"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Reasons in a CertificateError for rejecting a certificate.
var (
	ErrNoCertificate      = errors.New("no certificate was presented")
	ErrExpired            = errors.New("has expired")
	ErrNotYetValid        = errors.New("is not valid yet")
	ErrUntrustedAuthority = errors.New("is from an authority that is not trusted here")
	ErrWrongIdentity      = errors.New("has another identity")
)

// CertificateError is the error for a rejected certificate.
type CertificateError struct {
	Subject string // subject of the certificate, such as "operator ayla"; empty if none was presented
	Reason  error  // one of the reasons above, or an error of crypto/x509; errors.Is and errors.As match it
	message string
}

// Error implements error.
func (e *CertificateError) Error() string { return e.message }

// Unwrap returns the reason.
func (e *CertificateError) Unwrap() error { return e.Reason }

// verify checks that the first of the presented certificates is valid at the given time, that a trusted authority issued
// it, and that its identity matches wanted. An empty role or name in wanted matches any. The error is a
// *CertificateError.
func verify(trusted *x509.CertPool, presented []*x509.Certificate, wanted Identity, now time.Time) error {
	if len(presented) == 0 {
		return &CertificateError{Reason: ErrNoCertificate, message: ErrNoCertificate.Error()}
	}
	certificate := presented[0]
	if err := verifyChain(trusted, certificate, now); err != nil {
		return err
	}
	if IdentityOf(certificate).matches(wanted) {
		return nil
	}
	subject := certificate.Subject.CommonName
	owner := strings.TrimSpace(wanted.String() + "'s")
	return &CertificateError{
		Subject: subject, Reason: ErrWrongIdentity,
		message: fmt.Sprintf("the certificate is %s's, and should be %s", subject, owner),
	}
}

// verifyChain checks that the certificate is valid at the given time and that a trusted authority issued it.
func verifyChain(trusted *x509.CertPool, certificate *x509.Certificate, now time.Time) error {
	subject := certificate.Subject.CommonName
	rejected := func(reason error, detail string) error {
		return &CertificateError{Subject: subject, Reason: reason, message: fmt.Sprintf("the certificate of %s%s", subject, detail)}
	}
	_, err := certificate.Verify(x509.VerifyOptions{
		Roots: trusted, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	var unknownAuthority x509.UnknownAuthorityError
	switch {
	case now.After(certificate.NotAfter):
		return rejected(ErrExpired, " expired on "+certificate.NotAfter.Format(time.RFC3339))
	case now.Before(certificate.NotBefore):
		return rejected(ErrNotYetValid, " is not valid before "+certificate.NotBefore.Format(time.RFC3339))
	case errors.As(err, &unknownAuthority):
		return rejected(ErrUntrustedAuthority, " "+ErrUntrustedAuthority.Error())
	case err != nil:
		return rejected(err, ": "+err.Error())
	}
	return nil
}
