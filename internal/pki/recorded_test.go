package pki

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recordedFolder holds the keys of a test fleet that an earlier release created: an authority from January 2026, a second
// authority from February 2026 that expires in 2036, and certificates that are valid for 90 and 100 days. All tests pass
// in the time, so that their results do not depend on the current date.
const recordedFolder = Folder("testdata/haulage")

var (
	recordedFirst  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	recordedSecond = recordedFirst.Add(30 * day)
)

func recordedCredentials(r Role, name string, now time.Time) Credentials {
	credentials := recordedFolder.Credentials(r, name)
	credentials.Now = func() time.Time { return now }
	return credentials
}

func TestRecordedFolderIsListed(t *testing.T) {
	shown, err := recordedFolder.List()
	require.NoError(t, err)
	authorityEnd := recordedSecond.Add(3650 * day)
	assert.Equal(t, []CertificateInfo{
		{File: "agent-a1.pem", Subject: "agent a1", NotAfter: recordedSecond.Add(90 * day)},
		{File: "authority.key.pem", Subject: "fleet haulage", NotAfter: authorityEnd},
		{File: "authority.pem", Subject: "fleet haulage", NotAfter: authorityEnd},
		{File: "authority.pem", Subject: "fleet haulage", NotAfter: recordedFirst.Add(365 * day)},
		{File: "operator-ayla.pem", Subject: "operator ayla", NotAfter: recordedSecond.Add(90 * day)},
		{File: "operator-mehmet.pem", Subject: "operator mehmet", NotAfter: recordedFirst.Add(100 * day)},
	}, shown)
}

func TestRecordedCertificatesAreAcceptedOrRejectedByTime(t *testing.T) {
	for now, wantErrors := range map[time.Time]map[string]string{
		recordedFirst.Add(10 * day):   {"ayla": "the certificate of operator ayla is not valid before 2026-02-01T02:59:05Z", "mehmet": ""},
		recordedSecond.Add(time.Hour): {"ayla": "", "mehmet": ""},
		recordedFirst.Add(110 * day):  {"ayla": "", "mehmet": "the certificate of operator mehmet expired on 2026-04-12T03:04:05Z"},
		recordedSecond.Add(91 * day):  {"ayla": "the certificate of operator ayla expired on 2026-05-02T03:04:05Z"},
	} {
		for operator, want := range wantErrors {
			err := recordedCredentials(Operator, operator, now).Check()
			if want == "" {
				require.NoError(t, err, "%s at %s", operator, now)
			} else {
				require.EqualError(t, err, want)
			}
		}
	}
	now := recordedSecond.Add(time.Hour)
	for _, operator := range []string{"ayla", "mehmet"} {
		atServer, atClient := connect(t, recordedCredentials(Agent, "a1", now), recordedCredentials(Operator, operator, now), "a1")
		require.NoError(t, atServer, operator)
		require.NoError(t, atClient, operator)
	}
	_, atClient := connect(t, recordedCredentials(Agent, "a1", now), recordedCredentials(Operator, "ayla", now), "a2")
	require.ErrorContains(t, atClient, "the certificate is agent a1's, and should be agent a2's")
}

// TestRecordedAuthorityIssues renews a certificate in a copy of the recorded folder. The recorded certificates stay valid.
func TestRecordedAuthorityIssues(t *testing.T) {
	folder := Folder(t.TempDir())
	require.NoError(t, os.CopyFS(string(folder), os.DirFS(string(recordedFolder))))
	now := recordedSecond.Add(80 * day)
	require.NoError(t, folder.Issue(Agent, "a1", 90*day, now))
	renewed := folder.Credentials(Agent, "a1")
	renewed.Now = func() time.Time { return now }
	atServer, atClient := connect(t, renewed, recordedCredentials(Operator, "ayla", now), "a1")
	require.NoError(t, atServer)
	require.NoError(t, atClient)
	err := folder.Issue(Agent, "a1", 90*day, recordedSecond.Add(3600*day))
	require.EqualError(t, err, "keys: the authority expires on 2036-01-30, before the certificate would: renew the authority first")
	assert.FileExists(t, filepath.Join(string(folder), "operator-mehmet.pem"))
}
