package service

import "stoatdale.example/stoatdale/internal/config"

// Reload reads the configuration again, through env as Load did, and watches the endpoint list at the discovery address
// that the configuration names, if it is another one. If the configuration sets the key move, changed settings apply to all commands received
// from then on; commands in flight end under the earlier settings. Other changes take effect only after a restart;
// Reload logs their keys. A configuration that cannot be read or is invalid is rejected as a whole, and the error is
// logged. Reload may be called from any goroutine.
func (r *Router) Reload(env func(string) string) {
	config, err := config.Reload(env)
	r.loop.Post(func() {
		if err != nil {
			r.counters.ReloadsRejected++
			r.log.Error().Err(err).Msg("reload refused")
			return
		}
		r.apply(&config)
	})
}

// apply applies the parts of a configuration that can change while the router runs, and logs the keys of the rest.
func (r *Router) apply(next *Config) {
	r.counters.Reloads++
	if r.config.MigratesTo(next) {
		r.migrate(next)
	}
	if keys := r.config.RestartKeys(next); len(keys) > 0 {
		r.log.Warn().Strs("keys", keys).Msg("changed keys wait for a restart")
	}
	r.log.Info().Stringer("discovery", next.Discovery).Stringer("before", r.config.Discovery).Msg("reloaded")
	if next.Discovery == r.config.Discovery {
		return // calls in progress go on: a slow service would not be heard while reloads follow each other quickly
	}
	r.config.Discovery = next.Discovery
	r.dispatcher.SetDiscoveryAddress(next.Discovery)
}

// migrate applies the settings of a configuration to all commands received from now on.
func (r *Router) migrate(next *Config) {
	// Commands already received hold an index into the earlier settings' groups, so they are processed first.
	r.dispatcher.RunTurn(r.loop.Now())
	r.config.AdoptSettings(next)
	r.counters.SetGroups(next.Settings.GroupNames)
	r.frontend.ReloadGroups()
	r.dispatcher.ApplySettings()
	r.counters.SettingsMigrations++
	r.log.Info().Int("in_flight", r.dispatcher.InFlight()).Strs("groups", next.Settings.GroupNames).
		Msg("migrated to changed settings")
}
