// Package router decides where each command of a sharded, replicated database goes.
//
// New takes a Config. Route says where to send a command, or not yet, or never; AttemptEnded what to do once
// an attempt has ended; Maintain how long until the next look and which maintenance is due. The other calls
// feed facts in. Values are plain (types.go), times are seconds, ids small indices; docs/design.md has the
// reasons.
package router
