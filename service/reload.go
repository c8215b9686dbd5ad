package service

import "stoatdale.example/stoatdale/internal/config"

// Reload reads the configuration again, by way of env as Load did, and moves the watch of the endpoint list to the
// discovery address that it names. Where the document asks for it by its key move, changed settings hold for every
// command that comes after; those in flight end under the earlier ones. All else stays as it was: other changes are
// logged and wait for a restart. A configuration that cannot be read or is wrong is refused as a whole and logged. It
// may be called from any goroutine.
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

// apply takes over what a running router can of another configuration.
func (r *Router) apply(next *Config) {
	r.counters.Reloads++
	if r.config.MigratesTo(next) {
		r.migrate(next)
	}
	if keys := r.config.RestartKeys(next); len(keys) > 0 {
		r.log.Warn().Strs("keys", keys).Msg("changed keys wait for a restart")
	}
	r.log.Info().Stringer("discovery", next.Discovery).Stringer("before", r.config.Discovery).Msg("reloaded")
	r.config.Discovery = next.Discovery
	r.core.SetDiscoveryAddress(next.Discovery)
}

// migrate has another configuration's settings hold from here on.
func (r *Router) migrate(next *Config) {
	r.core.RunTurn(r.loop.Now()) // commands already received name their group by the earlier settings
	r.config.AdoptSettings(next)
	r.counters.SetGroups(next.Settings.GroupNames)
	r.front.ReloadGroups()
	r.core.ApplySettings()
	r.counters.SettingsMigrations++
	r.log.Info().Int("in_flight", r.core.InFlight()).Strs("groups", next.Settings.GroupNames).
		Msg("migrated to changed settings")
}
