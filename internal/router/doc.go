// Package router decides to which endpoint each command of a sharded, replicated database goes.
//
// New takes a Config. Route decides whether to send a command, where, or to wait or give up. AttemptEnded
// decides what to do after an attempt has ended. Maintain returns when to call it next and the
// maintenance that is due. The other methods report events to the router. Arguments and results are plain
// values (types.go): times are in seconds, and endpoints, shards and zones are identified by small
// indexes. docs/design.md gives the reasons for the rules.
package router
