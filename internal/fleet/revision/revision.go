// Package revision handles the configurations that are rolled out to routers. A revision is one JSON document that all
// routers of a fleet share, identified by the digest of its content. Render adds the values that belong to one instance, such
// as its name and address, and Check parses the result with the router's own parser (package config).
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

// MaxBytes is the maximum length of a revision, in bytes.
const MaxBytes = 4 << 20

const (
	digestBytes      = 16 // length of the part of the hash that forms a digest
	shortDigestChars = 10 // length of a short digest
)

// Keys of a router's configuration that Render sets.
const (
	nameKey      = "name"
	listenKey    = "listen"
	seedKey      = "seed"
	discoveryKey = "discovery"
	settingsKey  = "settings"
	indexKey     = "me" // in the object settings
)

// instanceKeys are the keys that are set for each instance. A revision must not contain them.
var instanceKeys = []string{nameKey, listenKey, seedKey}

// errNoSettings is the error of Render if an instance has a router index and the revision has no settings to set it in.
var errNoSettings = errors.New("settings is missing or is not an object")

// Instance holds the values of one instance that are not in the revision.
type Instance struct {
	Name        string
	Listen      string // address and port
	Discovery   string // address and port that replace the revision's; empty to keep the revision's
	RouterIndex int    // replaces settings.me; negative to keep the revision's
}

// Canonical returns a revision in canonical form, from which its digest is computed: compact JSON with sorted keys, and with
// numbers as they were written. Error texts begin with the file. Errors match *SyntaxError, *TooLongError or
// *InstanceKeyError.
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

// isInstanceKey reports whether a key is set for each instance. It ignores case, because the router's parser does.
func isInstanceKey(key string) bool {
	return slices.ContainsFunc(instanceKeys, func(instanceKey string) bool { return strings.EqualFold(instanceKey, key) })
}

// Digest returns the digest that identifies a revision with the given canonical content.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:digestBytes])
}

// ShortDigest returns the beginning of a digest, for display to operators.
func ShortDigest(digest string) string { return digest[:min(len(digest), shortDigestChars)] }

// Render returns the configuration of one instance under a revision. The seed must be new for each start of the router.
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

// Check parses the configuration that one instance would get under a revision, with the router's own parser, and returns
// it. An error of the parser is wrapped with the instance's name, and matches *config.Error if the parser rejects a key.
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

// RestartKeys returns the keys whose change needs a restart of an instance that goes from one configuration to another. If
// there are none, a reload is enough.
func RestartKeys(from, to *config.Config) []string { return from.RestartKeys(to) }

// DrainSeconds returns the longest time, in seconds, that a router may take to shut down: the longest that a client's command
// may wait, plus the time in which the router still accepts clients, plus a grace.
func DrainSeconds(config *config.Config, graceSeconds float64) float64 {
	durations := &config.Limits.Durations
	return durations.MaxClientTimeout + durations.AcceptLinger + graceSeconds
}
