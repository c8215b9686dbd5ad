package pki

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const day = 24 * time.Hour

func newFolder(t *testing.T) Folder {
	folder := Folder(t.TempDir())
	require.NoError(t, folder.CreateAuthority("haulage", 365*day, time.Now()))
	for r, n := range map[Role]string{Agent: "a1", Operator: "ayla"} {
		require.NoError(t, folder.Issue(r, n, 30*day, time.Now()))
	}
	return folder
}

// connect connects a client to a server over TLS, transfers one byte and returns the errors of both sides.
func connect(t *testing.T, server, client Credentials, agent string) (atServer, atClient error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	serverResult := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			serverResult <- err
			return
		}
		defer func() { _ = c.Close() }()
		s := tls.Server(c, server.ServerConfig(nil))
		err = s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		serverResult <- err
	}()
	conf, err := client.ClientConfig(agent)
	if err != nil {
		_ = l.Close()
		return <-serverResult, err
	}
	c, err := tls.Dial("tcp", l.Addr().String(), conf)
	if err == nil {
		_, err = io.ReadFull(c, make([]byte, 1))
		_ = c.Close()
	}
	return <-serverResult, err
}

func TestBothSidesVerifyTheOthersIdentity(t *testing.T) {
	folder := newFolder(t)
	server, client := folder.Credentials(Agent, "a1"), folder.Credentials(Operator, "ayla")
	atServer, atClient := connect(t, server, client, "a1")
	require.NoError(t, atServer)
	require.NoError(t, atClient)
	_, atClient = connect(t, server, client, "a2")
	require.ErrorContains(t, atClient, "the certificate is agent a1's, and should be agent a2's")
	require.ErrorIs(t, atClient, ErrWrongIdentity)
	atServer, atClient = connect(t, server, folder.Credentials(Agent, "a1"), "a1")
	require.ErrorContains(t, atServer, "should be operator")
	require.Error(t, atClient, "an agent is no operator")
	_, atClient = connect(t, folder.Credentials(Operator, "ayla"), client, "a1")
	require.ErrorContains(t, atClient, "operator ayla's, and should be agent a1's")
}

func TestUntrustedAndExpiredCertificatesAreRejected(t *testing.T) {
	folder, other := newFolder(t), newFolder(t)
	stranger := Credentials{CertificateFile: other.CertificateFile(Operator, "ayla"), TrustedFile: folder.TrustedFile(), Now: time.Now}
	atServer, atClient := connect(t, folder.Credentials(Agent, "a1"), stranger, "a1")
	require.ErrorContains(t, atServer, "operator ayla is from an authority that is not trusted here")
	require.ErrorIs(t, atServer, ErrUntrustedAuthority)
	var rejected *CertificateError
	require.ErrorAs(t, atServer, &rejected)
	assert.Equal(t, "operator ayla", rejected.Subject)
	require.Error(t, atClient)
	server := folder.Credentials(Agent, "a1")
	server.Now = func() time.Time { return time.Now().Add(31 * day) }
	atServer, _ = connect(t, server, folder.Credentials(Operator, "ayla"), "a1")
	require.ErrorContains(t, atServer, "the certificate of operator ayla expired on")
	require.ErrorIs(t, atServer, ErrExpired)
	server.Now = func() time.Time { return time.Now().Add(-day) }
	atServer, _ = connect(t, server, folder.Credentials(Operator, "ayla"), "a1")
	require.ErrorContains(t, atServer, "is not valid before")
	require.ErrorIs(t, atServer, ErrNotYetValid)
	require.ErrorContains(t, server.Check(), "is not valid before")
}

func TestReplacedFilesAreUsedFromTheNextConnection(t *testing.T) {
	folder := newFolder(t)
	server, client := folder.Credentials(Agent, "a1"), folder.Credentials(Operator, "ayla")
	conf, err := client.ClientConfig("a1")
	require.NoError(t, err)
	before := conf.Certificates[0].Leaf.SerialNumber
	require.NoError(t, folder.CreateAuthority("haulage", 365*day, time.Now()))
	atServer, atClient := connect(t, server, client, "a1")
	require.NoError(t, atServer, "certificates of the old authority stay valid")
	require.NoError(t, atClient)
	require.NoError(t, folder.Issue(Operator, "ayla", 30*day, time.Now()))
	conf, err = client.ClientConfig("a1")
	require.NoError(t, err)
	assert.NotEqual(t, before, conf.Certificates[0].Leaf.SerialNumber)
	atServer, atClient = connect(t, server, client, "a1")
	require.NoError(t, atServer, "the client has a certificate of the new authority, the server one of the old")
	require.NoError(t, atClient)
	shown, err := folder.List()
	require.NoError(t, err)
	assert.Len(t, shown, 5, "two trusted authorities, the current authority with its key, an agent and an operator")
	require.NoError(t, folder.CreateAuthority("haulage", 9000*day, time.Now().Add(400*day)))
	shown, err = folder.List()
	require.NoError(t, err)
	assert.Len(t, shown, 4, "the expired authorities are no longer trusted")
}

func TestInvalidNamesRolesLifetimesAndFilesAreReported(t *testing.T) {
	folder := newFolder(t)
	require.ErrorContains(t, folder.Issue(Agent, "../x", day, time.Now()), "invalid name")
	require.ErrorContains(t, folder.Issue("king", "x", day, time.Now()), "the role is")
	require.ErrorContains(t, folder.Issue(Agent, "x", 999*day, time.Now()), "renew the authority first")
	require.ErrorContains(t, Folder(t.TempDir()).Issue(Agent, "x", day, time.Now()), "load the authority")
	own := folder.CertificateFile(Operator, "ayla")
	info, err := os.Stat(own)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	require.NoError(t, os.WriteFile(own, []byte("-----BEGIN CERTIFICATE-----\nhalf"), 0o600))
	require.ErrorContains(t, folder.Credentials(Operator, "ayla").Check(), filepath.Base(own))
	require.NoError(t, os.WriteFile(folder.TrustedFile(), nil, 0o600))
	require.ErrorContains(t, folder.Credentials(Agent, "a1").Check(), "contains no certificate")
}
