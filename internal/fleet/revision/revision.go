// Package revision handles the configurations that are rolled out to routers. A revision is one JSON document that all
// routers of a fleet share, identified by the digest of its content. What belongs to one instance, such as its name and
// address, is put in for it, and the router's own reader checks the result.
package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"stoatdale.example/stoatdale/internal/config"
)

// MaxBytes is the most that a revision may have.
const MaxBytes = 4 << 20

const (
	digestBytes      = 16 // of the hash that a digest keeps
	shortDigestChars = 10
)

// Keys of a router's configuration that Render sets.
const (
	nameKey      = "name"
	listenKey    = "listen"
	seedKey      = "seed"
	discoveryKey = "discovery"
	settingsKey  = "settings"
	indexKey     = "me" // in settings
)

// instanceKeys belong to an instance: a revision must not hold them.
var instanceKeys = []string{nameKey, listenKey, seedKey}

// errNoSettings is the error of an instance's index in a revision without settings.
var errNoSettings = errors.New("settings is missing, or no object")

// Instance is what belongs to one instance and not to the revision.
type Instance struct {
	Name        string
	Listen      string // address and port
	Discovery   string // address and port in place of the revision's; empty: as the revision has it
	RouterIndex int    // in place of settings.me; below 0: as the revision has it
}

// Canonical returns a revision in the one form that its digest is taken of: compact, with its keys in order and numbers as
// they were written. Errors begin with the file and match *SyntaxError, *TooLongError or *InstanceKeyError.
func Canonical(file string, raw []byte) ([]byte, error) {
	doc, err := decodeDocument(file, raw)
	if err != nil {
		return nil, err
	}
	for key := range doc {
		if isInstanceKey(key) {
			return nil, &InstanceKeyError{File: file, Key: key}
		}
	}
	canonical, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return canonical, nil
}

// isInstanceKey tells whether a key belongs to an instance. The router's reader takes keys in any case.
func isInstanceKey(key string) bool {
	return slices.ContainsFunc(instanceKeys, func(own string) bool { return strings.EqualFold(own, key) })
}

// Digest identifies canonical content.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:digestBytes])
}

// ShortDigest is the beginning of a digest, for people.
func ShortDigest(digest string) string { return digest[:min(len(digest), shortDigestChars)] }

// Render returns the configuration of one instance under a revision. seed is for one start of the router.
func Render(canonical []byte, instance Instance, seed uint64) ([]byte, error) {
	doc, err := decodeDocument("revision", canonical)
	if err != nil {
		return nil, err
	}
	doc[nameKey] = instance.Name
	doc[listenKey] = instance.Listen
	doc[seedKey] = strconv.FormatUint(seed, 16)
	if instance.Discovery != "" {
		doc[discoveryKey] = instance.Discovery
	}
	if instance.RouterIndex >= 0 {
		settings, ok := doc[settingsKey].(document)
		if !ok {
			return nil, errNoSettings
		}
		settings[indexKey] = instance.RouterIndex
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", instance.Name, err)
	}
	return raw, nil
}

// Check has the router's own reader check what one instance would be given, and returns what it reads. Errors name the
// instance, and match *config.Error where the reader refuses a key.
func Check(canonical []byte, instance Instance) (config.Config, error) {
	const anySeed = 1
	raw, err := Render(canonical, instance, anySeed)
	if err != nil {
		return config.Config{}, err
	}
	config, err := config.Parse(raw)
	if err != nil {
		return config, fmt.Errorf("instance %s: %w", instance.Name, err)
	}
	return config, nil
}

// RestartKeys names the keys for which an instance must be restarted to go from one configuration to another; none: a
// reload is enough.
func RestartKeys(from, to *config.Config) []string { return from.RestartKeys(to) }

// DrainSeconds is how long a router may take to end once it is told to: the longest that a command may wait, the time in
// which clients are still accepted, and a grace, in seconds.
func DrainSeconds(config *config.Config, graceSeconds float64) float64 {
	durations := &config.Limits.Durations
	return durations.MaxClientTimeout + durations.AcceptLinger + graceSeconds
}
