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
	return fmt.Sprintf("revision %s is not at agent %s: push it", revision.ShortDigest(e.Digest), e.Agent)
}

// DigestError is the error of a pushed revision whose content has another digest than it is pushed under.
type DigestError struct {
	Content, Named string // digests
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("the revision's content is %s, and it is called %s", revision.ShortDigest(e.Content), revision.ShortDigest(e.Named))
}

// prepare sees that a revision can be installed: it is here, it is right for this instance, and there is room for its
// file. running is the digest of the revision that the router runs; empty: none.
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
	if !known { // take the times of the next one, and restart
		return supervisor.Preparation{DrainSeconds: revision.DrainSeconds(&nextConfig, grace)}, nil
	}
	return supervisor.Preparation{
		ReloadSuffices: len(revision.RestartKeys(&runningConfig, &nextConfig)) == 0,
		DrainSeconds:   revision.DrainSeconds(&runningConfig, grace),
	}, nil
}

// runningConfig is the configuration of the revision that runs, if one does and the store still has it.
func (r *router) runningConfig(digest string) (running config.Config, known bool) {
	if digest == "" {
		return config.Config{}, false
	}
	running, err := r.config(digest)
	return running, err == nil
}

// config is the router's configuration under a revision, as the router itself would read it.
func (r *router) config(digest string) (config.Config, error) {
	content, err := r.agent.revisionContent(digest)
	if err != nil {
		return config.Config{}, err
	}
	return revision.Check(content, r.instance.RevisionInstance())
}

// writeConfig writes the router's configuration under a revision, atomically, to a file of its folder. Each time it has
// another random seed.
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

// revisionContent is the content of a revision in the store. It fails with *RevisionMissingError if it is not there.
func (a *Agent) revisionContent(digest string) ([]byte, error) {
	rev, found, err := a.store.Revision(digest)
	if err == nil && !found {
		err = &RevisionMissingError{Digest: digest, Agent: a.self.Name}
	}
	return rev.Content, err
}

// putRevision stores a revision that is right for every instance here.
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
	a.log.Info().Str("operator", operator).Str("revision", revision.ShortDigest(rev.Digest)).Str("name", rev.Name).Msg("revision stored")
	return nil
}
