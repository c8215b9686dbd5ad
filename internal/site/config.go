// Package site is the one place where configuration is read, checked and given defaults: the settings
// that the simulator or a file hands over, the environment, and the router's own limits.
package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"stoatdale.example/stoatdale/internal/roster"
)

// Config is what a router on sockets is started with.
type Config struct {
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Seed      uint64
	KnownList roster.List // as this router had it last
	Settings  Settings
	Migrate   bool // a running router takes these settings in
	Limits    Limits
}

// configDocument is GW_CONFIG's document.
type configDocument struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Memory  *int `json:"memory_mb"`
		Sockets *int `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Move     bool            `json:"move"`
}

// Load reads the variables GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_CONFIG by way of env and the file that
// the last one names. A variable and the file must not differ; either may be left out but GW_CONFIG.
func Load(env func(string) string) (Config, error) { return read(env, true) }

// Reload reads them again by the same checks, but for one: where a variable and the file differ the file
// wins, since the environment still holds what the process was started with.
func Reload(env func(string) string) (Config, error) { return read(env, false) }

// Parse reads a document as Load does, with nothing from the environment, for whoever hands routers theirs.
func Parse(raw []byte) (Config, error) {
	return parse(raw, func(string) string { return "" }, true)
}

func read(env func(string) string, agree bool) (Config, error) {
	path := env("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return parse(raw, env, agree)
}

func parse(raw []byte, env func(string) string, agree bool) (Config, error) {
	var f configDocument
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	for _, p := range []struct {
		variable, key string
		value         *string
	}{{"GW_NAME", "name", &f.Name}, {"GW_LISTEN", "listen", &f.Listen}, {"GW_DISCOVERY", "discovery", &f.Discovery}} {
		v := env(p.variable)
		if agree && v != "" && *p.value != "" && v != *p.value {
			return Config{}, fmt.Errorf("%s is %q, but %s in GW_CONFIG is %q", p.variable, v, p.key, *p.value)
		}
		if *p.value == "" {
			*p.value = v
		}
		if *p.value == "" {
			return Config{}, fmt.Errorf("%s is missing: set %s or %s in GW_CONFIG", p.key, p.variable, p.key)
		}
	}
	return f.check()
}

func (f *configDocument) check() (Config, error) {
	s := Config{Name: f.Name, Migrate: f.Move}
	var err error
	if s.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return s, fmt.Errorf("listen: %w", err)
	}
	if s.Discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return s, fmt.Errorf("discovery: %w", err)
	}
	if s.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return s, fmt.Errorf("seed: %w", err)
	}
	if len(f.Settings) == 0 {
		return s, errors.New("settings is missing")
	}
	if s.Settings, err = ParseSettings(f.Settings); err == nil {
		err = s.Settings.Validate()
	}
	if err != nil {
		return s, err
	}
	memory, sockets := defaultMemoryMB, defaultSockets
	if f.Limits.Memory != nil {
		memory = *f.Limits.Memory
	}
	if f.Limits.Sockets != nil {
		sockets = *f.Limits.Sockets
	}
	if memory < leastMemoryMB {
		return s, fmt.Errorf("limits.memory_mb is %d, and must be %d at least", memory, leastMemoryMB)
	}
	if sockets < leastSockets {
		return s, fmt.Errorf("limits.sockets is %d, and must be %d at least", sockets, leastSockets)
	}
	s.Limits = limits(memory, sockets, &s.Settings)
	if len(f.Known) == 0 {
		return s, errors.New("known is missing")
	}
	if s.KnownList, err = roster.Parse(f.Known); err != nil {
		return s, fmt.Errorf("known: %w", err)
	}
	return s, nil
}
