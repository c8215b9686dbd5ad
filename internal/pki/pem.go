package pki

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
)

// MaxFileBytes is the most that a file of certificates may hold, in bytes.
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

// encode is the content of a file with both.
func (p keyPair) encode() ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(p.key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	encodedKey := pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: key})
	return append(encodeCertificate(p.certificate), encodedKey...), nil
}

// encodeCertificate is the PEM text of a certificate in DER.
func encodeCertificate(certificate []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: certificate})
}

// parseCertificates reads all certificates from a file's content. Other blocks are skipped, and so is what follows the
// last complete block. The path is for errors only.
func parseCertificates(file string, content []byte) ([]*x509.Certificate, error) {
	if len(content) > MaxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", file, len(content), MaxFileBytes)
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

// loadKeyPair reads a certificate and its key from one file.
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
