package agent

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"path/filepath"

	"github.com/google/renameio/v2"

	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/store"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// RevisionMissingError is the error of a step whose revision the agent does not have.
type RevisionMissingError struct {
	Digest, Agent string
}

func (e *RevisionMissingError) Error() string {
	return fmt.Sprintf("revision %s is not stored at agent %s: push it", revision.ShortDigest(e.Digest), e.Agent)
}

// DigestError is the error of a pushed revision whose content does not have the digest that the request names.
type DigestError struct {
	Content, Named string // digest of the content, and the digest that the request names
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("the revision's content has digest %s, but was pushed as %s",
		revision.ShortDigest(e.Content), revision.ShortDigest(e.Named))
}

// prepare checks that the revision next can be installed: it is stored, it is valid for this instance, and the disk has
// room for its file. running is the digest of the revision that the router runs, or empty if it runs none.
func (r *router) prepare(running, next string) (supervisor.Preparation, error) {
	nextConfig, err := r.config(next)
	if err != nil {
		return supervisor.Preparation{}, err
	}
	if err := r.writeConfig(next, nextConfigName); err != nil {
		return supervisor.Preparation{}, err
	}
	grace := float64(r.agent.fleet.Times.DrainGrace)
	runningConfig, known := r.runningConfig(running)
	if !known { // restart the router, and compute its drain time from the next configuration
		return supervisor.Preparation{DrainSeconds: revision.DrainSeconds(&nextConfig, grace)}, nil
	}
	return supervisor.Preparation{
		ReloadSuffices: len(revision.RestartKeys(&runningConfig, &nextConfig)) == 0,
		DrainSeconds:   revision.DrainSeconds(&runningConfig, grace),
	}, nil
}

// runningConfig returns the configuration of the running revision. known reports whether digest names a revision that
// the store still has and that is valid.
func (r *router) runningConfig(digest string) (running config.Config, known bool) {
	if digest == "" {
		return config.Config{}, false
	}
	running, err := r.config(digest)
	return running, err == nil
}

// config returns the router's configuration under a revision, parsed and checked as the router itself does it.
func (r *router) config(digest string) (config.Config, error) {
	content, err := r.agent.revisionContent(digest)
	if err != nil {
		return config.Config{}, err
	}
	return revision.Check(content, r.instance.RevisionInstance())
}

// writeConfig writes the router's configuration under a revision atomically to a file in the router's folder. Each call
// puts a new random seed into the file.
func (r *router) writeConfig(digest, fileName string) error {
	content, err := r.agent.revisionContent(digest)
	if err != nil {
		return err
	}
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	raw, err := revision.Render(content, r.instance.RevisionInstance(), binary.LittleEndian.Uint64(seed[:]))
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(r.folder, fileName), raw, 0o600); err != nil {
		return fmt.Errorf("instance %s: %w", r.instance.Name, err)
	}
	return nil
}

// revisionContent returns the content of a revision in the store, or *RevisionMissingError if the store does not have it.
func (a *Agent) revisionContent(digest string) ([]byte, error) {
	rev, found, err := a.store.Revision(digest)
	if err == nil && !found {
		err = &RevisionMissingError{Digest: digest, Agent: a.self.Name}
	}
	return rev.Content, err
}

// putRevision stores a pushed revision after checking its digest and that it is valid for every instance of this agent.
func (a *Agent) putRevision(operator string, rev protocol.Revision) error {
	canonical, err := revision.Canonical("revision", rev.Content)
	if err != nil {
		return err
	}
	if digest := revision.Digest(canonical); digest != rev.Digest {
		return &DigestError{Content: digest, Named: rev.Digest}
	}
	for i := range a.routers {
		if _, err := revision.Check(canonical, a.routers[i].instance.RevisionInstance()); err != nil {
			return err
		}
	}
	rev.Content = canonical
	rev.PushedBy = operator
	if err := a.store.Save(store.Change{Revision: &rev}); err != nil {
		return err
	}
	a.log.Info().Str("operator", operator).Str("revision", revision.ShortDigest(rev.Digest)).
		Str("name", rev.Name).Msg("revision stored")
	return nil
}
