// Package config reads, validates and completes the configuration of a router: the settings of its deployment, from a
// configuration document or the simulator, the environment variables, and the limits that follow from the settings.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"stoatdale.example/stoatdale/internal/endpoint"
)

// Config is the configuration of a router on sockets. All its values have been validated.
type Config struct {
	Name      string         // name of this router
	Listen    netip.AddrPort // address to which clients connect
	Discovery netip.AddrPort // address of the discovery service
	Seed      uint64         // seed of the router's random choices
	KnownList endpoint.List  // the last endpoint list that this router had
	Settings  Settings
	Migrate   bool // a running router adopts changed settings without a restart
	Limits    Limits
}

// Environment variables. Each except GW_CONFIG may be set in place of a key of the document.
const (
	nameVariable      = "GW_NAME"
	listenVariable    = "GW_LISTEN"
	discoveryVariable = "GW_DISCOVERY"
	fileVariable      = "GW_CONFIG" // path of the document
)

// Keys of the document that appear in errors and in the result of RestartKeys.
const (
	nameKey      = "name"
	listenKey    = "listen"
	discoveryKey = "discovery"
	seedKey      = "seed"
	knownKey     = "known"
	limitsKey    = "limits"
	settingsKey  = "settings"
	memoryKey    = "limits.memory_mb"
	socketsKey   = "limits.sockets"
)

const reasonMissing = "is missing"

// document is the JSON form of the configuration file whose path is in GW_CONFIG.
type document struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // hexadecimal
	Limits    struct {
		MemoryMB *int `json:"memory_mb"`
		Sockets  *int `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Migrate  bool            `json:"move"`
}

// environment returns the value of an environment variable, or an empty string if it is not set.
type environment func(name string) string

// conflictRule specifies what happens if an environment variable and the document have different values.
type conflictRule int

const (
	conflictIsError conflictRule = iota // reading the configuration fails
	documentWins                        // the document's value is used
)

// Load reads the variables GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_CONFIG with env, and the document whose path is in
// GW_CONFIG. GW_CONFIG is required. The other values may be set in a variable, in the document, or the same in both. Its
// errors are of type *Error.
func Load(env func(string) string) (Config, error) { return loadFile(env, conflictIsError) }

// Reload reads the configuration again with the same checks as Load. If a variable and the document differ, however, the
// document's value is used, since the environment still has the values with which the process was started. Its errors are
// of type *Error.
func Reload(env func(string) string) (Config, error) { return loadFile(env, documentWins) }

// Parse parses and validates a document as Load does, but without the environment. It is for programs that write
// configuration documents for routers. Its errors are of type *Error.
func Parse(raw []byte) (Config, error) {
	return parse(raw, func(string) string { return "" }, conflictIsError)
}

// loadFile reads the configuration from the environment and the document whose path is in GW_CONFIG.
func loadFile(env environment, rule conflictRule) (Config, error) {
	path := env(fileVariable)
	if path == "" {
		return Config{}, &Error{Key: fileVariable, Reason: "is not set"}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &Error{File: path, Key: fileVariable, Err: err}
	}
	config, err := parse(raw, env, rule)
	return config, inFile(path, err)
}

// parse parses a document, completes it from the environment and validates it.
func parse(raw []byte, env environment, rule conflictRule) (Config, error) {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return Config{}, &Error{Key: fileVariable, Err: err}
	}
	if err := doc.complete(env, rule); err != nil {
		return Config{}, err
	}
	return doc.check()
}

// complete sets the keys that the document leaves out from the environment.
func (d *document) complete(env environment, rule conflictRule) error {
	for _, pair := range []struct {
		variable, key string
		value         *string
	}{
		{nameVariable, nameKey, &d.Name},
		{listenVariable, listenKey, &d.Listen},
		{discoveryVariable, discoveryKey, &d.Discovery},
	} {
		fromEnvironment := env(pair.variable)
		bothSet := fromEnvironment != "" && *pair.value != ""
		if rule == conflictIsError && bothSet && fromEnvironment != *pair.value {
			reason := fmt.Sprintf("is %q, but %s in %s is %q", fromEnvironment, pair.key, fileVariable, *pair.value)
			return &Error{Key: pair.variable, Reason: reason}
		}
		if *pair.value == "" {
			*pair.value = fromEnvironment
		}
		if *pair.value == "" {
			reason := fmt.Sprintf("%s: set %s or %s in %s", reasonMissing, pair.variable, pair.key, fileVariable)
			return &Error{Key: pair.key, Reason: reason}
		}
	}
	return nil
}

// check validates a complete document and converts it to a configuration.
func (d *document) check() (Config, error) {
	config := Config{Name: d.Name, Migrate: d.Migrate}
	if err := d.checkAddresses(&config); err != nil {
		return Config{}, err
	}
	if len(d.Settings) == 0 {
		return Config{}, &Error{Key: settingsKey, Reason: reasonMissing}
	}
	var err error
	if config.Settings, err = ParseSettings(d.Settings); err != nil {
		return Config{}, err
	}
	if err := config.Settings.Validate(); err != nil {
		return Config{}, err
	}
	if config.Limits, err = d.limits(&config.Settings); err != nil {
		return Config{}, err
	}
	if len(d.Known) == 0 {
		return Config{}, &Error{Key: knownKey, Reason: reasonMissing}
	}
	if config.KnownList, err = endpoint.Parse(d.Known); err != nil {
		return Config{}, &Error{Key: knownKey, Err: err}
	}
	return config, nil
}

// checkAddresses parses the two addresses and the seed.
func (d *document) checkAddresses(config *Config) error {
	var err error
	if config.Listen, err = netip.ParseAddrPort(d.Listen); err != nil {
		return &Error{Key: listenKey, Err: err}
	}
	if config.Discovery, err = netip.ParseAddrPort(d.Discovery); err != nil {
		return &Error{Key: discoveryKey, Err: err}
	}
	if config.Seed, err = strconv.ParseUint(d.Seed, 16, 64); err != nil {
		return &Error{Key: seedKey, Err: err}
	}
	return nil
}

// limits computes the limits of a router from the memory and the number of sockets that the document allows it.
func (d *document) limits(settings *Settings) (Limits, error) {
	memoryMB, err := atLeast(memoryKey, d.Limits.MemoryMB, defaultMemoryMB, minMemoryMB)
	if err != nil {
		return Limits{}, err
	}
	sockets, err := atLeast(socketsKey, d.Limits.Sockets, defaultSockets, minSockets)
	if err != nil {
		return Limits{}, err
	}
	return newLimits(memoryMB, sockets, settings), nil
}

// atLeast returns a value of the document, or its default if the document leaves it out. It returns an error if the value is
// below the minimum.
func atLeast(key string, value *int, defaultValue, minimum int) (int, error) {
	if value == nil {
		return defaultValue, nil
	}
	if *value < minimum {
		return 0, &Error{Key: key, Reason: fmt.Sprintf("is %d, but must be at least %d", *value, minimum)}
	}
	return *value, nil
}
