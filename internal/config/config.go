// Package config reads a router's configuration, checks it and completes it: the settings of the deployment, which a
// document or the simulator hands over, the environment variables, and the limits that follow from them.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"stoatdale.example/stoatdale/internal/endpoint"
)

// Config is what a router on sockets is started with. Every value in it has been checked.
type Config struct {
	Name      string         // of this router
	Listen    netip.AddrPort // where clients connect
	Discovery netip.AddrPort // the discovery service
	Seed      uint64         // of the router's random choices
	KnownList endpoint.List  // the endpoint list as this router had it last
	Settings  Settings
	Migrate   bool // a running router shall take changed settings over without a restart
	Limits    Limits
}

// Environment variables. Each but the last stands in for the document's key of the same meaning.
const (
	nameVariable      = "GW_NAME"
	listenVariable    = "GW_LISTEN"
	discoveryVariable = "GW_DISCOVERY"
	fileVariable      = "GW_CONFIG" // the document's path
)

// Keys of the document that errors and RestartKeys name.
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

const missing = "is missing"

// document is the file that GW_CONFIG names.
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

// environment looks a variable up; one that is not set is empty.
type environment func(name string) string

// conflictRule says what holds where a variable and the document differ.
type conflictRule int

const (
	conflictIsError conflictRule = iota
	documentWins
)

// Load reads the variables GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_CONFIG by way of env, and the document that the
// last one names. A variable and the document must not differ; either may be left out but GW_CONFIG. Its errors are
// of type *Error.
func Load(env func(string) string) (Config, error) { return loadFile(env, conflictIsError) }

// Reload reads them again by the same checks, except that the document wins where it differs from a variable, since
// the environment still holds what the process was started with. Its errors are of type *Error.
func Reload(env func(string) string) (Config, error) { return loadFile(env, documentWins) }

// Parse checks a document as Load does, with nothing from the environment. It is for those who write documents for
// routers. Its errors are of type *Error.
func Parse(raw []byte) (Config, error) {
	return parse(raw, func(string) string { return "" }, conflictIsError)
}

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

// complete fills keys that the document leaves out from the environment.
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
			reason := fmt.Sprintf("%s: set %s or %s in %s", missing, pair.variable, pair.key, fileVariable)
			return &Error{Key: pair.key, Reason: reason}
		}
	}
	return nil
}

// check turns a complete document into a configuration.
func (d *document) check() (Config, error) {
	config := Config{Name: d.Name, Migrate: d.Migrate}
	if err := d.checkAddresses(&config); err != nil {
		return Config{}, err
	}
	if len(d.Settings) == 0 {
		return Config{}, &Error{Key: settingsKey, Reason: missing}
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
		return Config{}, &Error{Key: knownKey, Reason: missing}
	}
	if config.KnownList, err = endpoint.Parse(d.Known); err != nil {
		return Config{}, &Error{Key: knownKey, Err: err}
	}
	return config, nil
}

// checkAddresses reads the two addresses and the seed.
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

// limits computes the limits of a process that may use as much memory and as many sockets as the document says.
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

// atLeast returns a value of the document, or its default where the document leaves it out.
func atLeast(key string, value *int, byDefault, minimum int) (int, error) {
	if value == nil {
		return byDefault, nil
	}
	if *value < minimum {
		return 0, &Error{Key: key, Reason: fmt.Sprintf("is %d, and must be %d at least", *value, minimum)}
	}
	return *value, nil
}
