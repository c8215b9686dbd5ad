package site

import "reflect"

// MigratesTo says that another configuration asks a running router to take its settings in, and that they differ. How the
// list comes is part of how a router starts.
func (s *Config) MigratesTo(other *Config) bool {
	return other.Migrate && s.Settings.PollList == other.Settings.PollList && !reflect.DeepEqual(s.Settings, other.Settings)
}

// AdoptSettings takes another configuration's settings in, and what of the limits follows from them; memory and descriptors stay.
func (s *Config) AdoptSettings(other *Config) {
	s.Settings = other.Settings
	s.Limits = limits(int(s.Limits.Sizes.Memory>>20), s.Limits.Counts.Sockets, &s.Settings)
}

// RestartKeys names the keys in which another start differs and that only a restart takes in. The list that was
// known last is none: it changes by itself.
func (s *Config) RestartKeys(other *Config) []string {
	var keys []string
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", s.Name == other.Name},
		{"listen", s.Listen == other.Listen},
		{"seed", s.Seed == other.Seed},
		{"limits", s.Limits.Sizes.Memory == other.Limits.Sizes.Memory && s.Limits.Counts.Sockets == other.Limits.Counts.Sockets},
		{"settings", reflect.DeepEqual(s.Settings, other.Settings) || s.MigratesTo(other)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}
