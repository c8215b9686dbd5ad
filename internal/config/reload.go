package config

import "reflect"

// MigratesTo reports whether another configuration asks a running router to take its settings over, and they differ.
// It is false where the way in which the endpoint list comes would change: that belongs to how a router starts.
func (c *Config) MigratesTo(other *Config) bool {
	return other.Migrate && c.Settings.PollList == other.Settings.PollList && !c.sameSettings(other)
}

// AdoptSettings takes over another configuration's settings and the limits that follow from them. The limits of the
// process, its memory and its sockets, stay.
func (c *Config) AdoptSettings(other *Config) {
	c.Settings = other.Settings
	memoryMB := int(c.Limits.Sizes.Memory / bytesPerMB)
	c.Limits = newLimits(memoryMB, c.Limits.Counts.Sockets, &c.Settings)
}

// RestartKeys names the keys in which another configuration differs and which only a restart takes over. The endpoint
// list that was known last is none of them: it changes by itself.
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

func (c *Config) sameSettings(other *Config) bool {
	return reflect.DeepEqual(c.Settings, other.Settings)
}

func (c *Config) sameProcessLimits(other *Config) bool {
	return c.Limits.Sizes.Memory == other.Limits.Sizes.Memory &&
		c.Limits.Counts.Sockets == other.Limits.Counts.Sockets
}
