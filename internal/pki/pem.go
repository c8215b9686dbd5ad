package pki

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
)

// MaxFileBytes is the maximum size of a certificate file in bytes.
const MaxFileBytes = 1 << 20

// Types of PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "PRIVATE KEY"
)

// keyPair is a newly issued certificate and its key.
type keyPair struct {
	certificate []byte // DER
	key         *ecdsa.PrivateKey
}

// encode returns the certificate and key as PEM text.
func (p keyPair) encode() ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(p.key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	encodedKey := pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: key})
	return append(encodeCertificate(p.certificate), encodedKey...), nil
}

// encodeCertificate returns a DER certificate as PEM text.
func encodeCertificate(certificate []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: certificate})
}

// parseCertificates parses all certificates in the content of a file. It skips other PEM blocks and anything after the
// last complete block. file is the path for errors.
func parseCertificates(file string, content []byte) ([]*x509.Certificate, error) {
	if len(content) > MaxFileBytes {
		return nil, fmt.Errorf("%s: the file has %d bytes, at most %d are allowed", file, len(content), MaxFileBytes)
	}
	var certificates []*x509.Certificate
	for rest := content; len(rest) > 0; {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			break
		}
		if block.Type != certificateBlock {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		certificates = append(certificates, certificate)
	}
	return certificates, nil
}

// loadKeyPair loads a certificate and its key from one file.
func loadKeyPair(file string) (tls.Certificate, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return tls.Certificate{}, err
	}
	pair, err := tls.X509KeyPair(content, content)
	if err != nil {
		return pair, fmt.Errorf("%s: %w", file, err)
	}
	return pair, nil
}
