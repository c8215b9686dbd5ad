package pki

import (
	"crypto/x509"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Reasons for which a certificate is rejected, in a CertificateError.
var (
	ErrNoCertificate      = errors.New("no certificate was shown")
	ErrExpired            = errors.New("ran out")
	ErrNotYetValid        = errors.New("counts only from a later time")
	ErrUntrustedAuthority = errors.New("is from an authority that is not trusted here")
	ErrWrongIdentity      = errors.New("is somebody else's")
)

// CertificateError tells whose certificate is rejected and why.
type CertificateError struct {
	Subject string // as in the certificate: "operator ayla"; empty if none was presented
	Reason  error  // one of the reasons above, or what crypto/x509 found; errors.Is and errors.As match it
	message string
}

// Error implements error.
func (e *CertificateError) Error() string { return e.message }

// Unwrap is the reason.
func (e *CertificateError) Unwrap() error { return e.Reason }

// verify checks the first of the presented certificates: that it is valid at the time, that a trusted authority issued it
// and that it is the wanted one's. An empty role or name of wanted stands for any. Its error is a *CertificateError.
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

// verifyChain checks the time and the issuer.
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
		return rejected(ErrExpired, " ran out on "+certificate.NotAfter.Format(time.RFC3339))
	case now.Before(certificate.NotBefore):
		return rejected(ErrNotYetValid, " counts only from "+certificate.NotBefore.Format(time.RFC3339))
	case errors.As(err, &unknownAuthority):
		return rejected(ErrUntrustedAuthority, " "+ErrUntrustedAuthority.Error())
	case err != nil:
		return rejected(err, ": "+err.Error())
	}
	return nil
}
