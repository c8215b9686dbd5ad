package config

import "reflect"

// MigratesTo reports whether a running router has to adopt the settings of another configuration: they differ, and that
// configuration requests it. It returns false if the endpoint list is polled under one configuration and pushed under the
// other, since a router selects this when it starts.
func (c *Config) MigratesTo(other *Config) bool {
	return other.Migrate && c.Settings.PollList == other.Settings.PollList && !c.sameSettings(other)
}

// AdoptSettings replaces the settings with those of another configuration and recomputes the limits that follow from them.
// The memory and socket limits of the process stay the same.
func (c *Config) AdoptSettings(other *Config) {
	c.Settings = other.Settings
	memoryMB := int(c.Limits.Sizes.Memory / bytesPerMB)
	c.Limits = newLimits(memoryMB, c.Limits.Counts.Sockets, &c.Settings)
}

// RestartKeys returns the keys that differ in another configuration and take effect only at a restart. The last known
// endpoint list is not among them, since the router keeps it up to date itself.
func (c *Config) RestartKeys(other *Config) []string {
	var keys []string
	for _, key := range []struct {
		name string
		same bool
	}{
		{nameKey, c.Name == other.Name},
		{listenKey, c.Listen == other.Listen},
		{seedKey, c.Seed == other.Seed},
		{limitsKey, c.sameProcessLimits(other)},
		{settingsKey, c.sameSettings(other) || c.MigratesTo(other)},
	} {
		if !key.same {
			keys = append(keys, key.name)
		}
	}
	return keys
}

// sameSettings reports whether another configuration has the same settings.
func (c *Config) sameSettings(other *Config) bool {
	return reflect.DeepEqual(c.Settings, other.Settings)
}

// sameProcessLimits reports whether another configuration has the same memory and socket limits.
func (c *Config) sameProcessLimits(other *Config) bool {
	return c.Limits.Sizes.Memory == other.Limits.Sizes.Memory &&
		c.Limits.Counts.Sockets == other.Limits.Counts.Sockets
}
