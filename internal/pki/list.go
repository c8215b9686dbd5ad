package pki

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// CertificateInfo describes a certificate of a folder. Its JSON form is output of the command line.
type CertificateInfo struct {
	File     string    `json:"file"`  // without the folder
	Subject  string    `json:"who"`   // such as "agent a1" or "fleet haulage"
	NotAfter time.Time `json:"until"` // when it expires
}

// List describes all certificates of the folder, also expired ones, in the order of their files' names. A folder that
// does not exist has none.
func (f Folder) List() ([]CertificateInfo, error) {
	files, err := filepath.Glob(filepath.Join(string(f), "*.pem"))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var list []CertificateInfo
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		certificates, err := parseCertificates(file, content)
		if err != nil {
			return nil, err
		}
		for _, certificate := range certificates {
			list = append(list, CertificateInfo{
				File:     filepath.Base(file),
				Subject:  certificate.Subject.CommonName,
				NotAfter: certificate.NotAfter,
			})
		}
	}
	slices.SortStableFunc(list, func(a, b CertificateInfo) int { return strings.Compare(a.File, b.File) })
	return list, nil
}
