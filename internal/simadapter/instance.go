package simadapter

import (
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/idtable"
	"stoatdale.example/stoatdale/internal/inflight"
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/simproto"
)

const (
	secondsPerNanosecond = 1e-9
)

func seconds(nanoseconds int64) float64 { return float64(nanoseconds) * secondsPerNanosecond }

// instance is one router with its timers and its commands in flight. It implements inflight.Executor. Times are in
// seconds since the instance's start, unless a comment says otherwise.
type instance struct {
	id           uint32
	startClock   uint64  // the simulator's clock at the instance's start, in nanoseconds
	now          float64 // time of the present batch
	router       *router.Router
	commands     *inflight.Tracker
	reportFields []string // names of a load report's fields, in order
	groupCount   int      // number of command groups
	fault        string   // why the instance cannot go on; empty while it can
	crashed      bool
	active       bool                             // the present batch has selected the instance
	timerAt      float64                          // when the current timer fires; infinite if none is set
	timerNumber  uint32                           // number of the current timer; earlier timers are ignored when they fire
	addresses    *idtable.Table[simproto.Address] // endpoint indices by address
	shards       *idtable.Table[int]              // the router's shard indices by the simulator's shard number
	actions      simproto.Reply                   // actions of the present batch
}

// newInstance starts a router. If its settings are invalid, the error becomes the instance's fault, which is reported in
// the reply to the batch.
func newInstance(id uint32, clock, seed uint64, rawSettings []byte) *instance {
	i := &instance{
		id: id, startClock: clock, timerAt: math.Inf(1),
		addresses: idtable.New[simproto.Address](), shards: idtable.New[int](),
	}
	i.actions.Reset()
	settings, err := config.ParseSettings(rawSettings)
	if err != nil {
		i.fault = err.Error()
		return i
	}
	settings.PositionEpoch = seconds(int64(settings.PositionEpochNs) - int64(clock))
	i.reportFields = settings.ReportFields
	i.groupCount = len(settings.CommandGroups)
	i.router = router.New(settings.Config, seed)
	i.commands = inflight.New(i.router, i)
	return i
}

// time converts a time of the simulator's clock, in nanoseconds, into seconds since the instance's start.
func (i *instance) time(clock uint64) float64 { return seconds(int64(clock - i.startClock)) }

// clock converts seconds since the instance's start into a time of the simulator's clock, in nanoseconds.
func (i *instance) clock(at float64) uint64 {
	return i.startClock + uint64(math.Round(at/secondsPerNanosecond))
}

// guard makes a call into the router, unless the instance already has a fault. A panic in the call becomes the
// instance's fault; the other instances go on.
func (i *instance) guard(call func()) {
	if i.fault != "" {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			i.fault = fmt.Sprint("decision code failed: ", cause)
		}
	}()
	call()
}

// updateList passes an endpoint list, or changes to it, to the router.
func (i *instance) updateList(list []simproto.Endpoint, mode simproto.UpdateMode) {
	endpoints := make([]router.EndpointInfo, len(list))
	for n, endpoint := range list {
		endpoints[n] = router.EndpointInfo{
			Index:     i.addresses.Intern(endpoint.Address),
			Shard:     i.shards.Intern(endpoint.Shard),
			Zone:      endpoint.Zone,
			State:     router.EndpointState(endpoint.State),
			StartedAt: i.startedAt(endpoint),
			Primary:   endpoint.Primary,
		}
	}
	complete := mode != simproto.ListChanges
	i.router.UpdateEndpoints(i.now, endpoints, complete, mode == simproto.ListCached)
}

// startedAt returns when an endpoint started, or minus infinity (long ago) if the list does not say.
func (i *instance) startedAt(endpoint simproto.Endpoint) float64 {
	if endpoint.StartedAt == 0 {
		return math.Inf(-1)
	}
	return i.time(endpoint.StartedAt)
}

// addCommand passes a command to the router. A shard that no endpoint list has named becomes -1.
func (i *instance) addCommand(command simproto.Command) {
	shard, known := i.shards.Lookup(command.Shard)
	if !known {
		shard = -1
	}
	i.commands.Add(i.now, command.ID, router.Command{
		Group:          command.Group,
		Shard:          shard,
		Session:        command.Session,
		ArrivedAt:      i.now,
		ClientDeadline: i.time(command.Deadline),
		LastWriteAge:   command.LastWriteAgeMs / 1000,
		ClientRetry:    command.Flags&simproto.FlagClientRetry != 0,
	})
}

// attemptEnded passes an attempt's result to the router. An unknown position becomes -1.
func (i *instance) attemptEnded(ended simproto.AttemptEnded) {
	result := router.AttemptResult{
		Attempt:  ended.Attempt,
		Result:   resultsByCode[ended.Result],
		Elapsed:  seconds(int64(ended.Elapsed)),
		Final:    ended.Final,
		Role:     router.Role(ended.Role),
		Position: -1,
	}
	if ended.PositionMs != 0 {
		result.Position = float64(ended.PositionMs) / 1000
	}
	i.commands.AttemptEnded(i.now, ended.Command, result)
}

// healthChecked passes a health check's result to the router, unless the endpoint is no longer known.
func (i *instance) healthChecked(address simproto.Address, result router.Result, elapsed uint64, report []float32) {
	endpoint, known := i.addresses.Lookup(address)
	if !known {
		return
	}
	position, primary := i.readReport(report)
	i.router.HealthChecked(i.now, endpoint, result, seconds(int64(elapsed)), position, primary)
}

// readReport returns the log position in a load report, or -1 if the report has none, and whether it comes from a
// primary.
func (i *instance) readReport(report []float32) (position float64, primary bool) {
	position = -1
	for n, value := range report[:min(len(report), len(i.reportFields))] {
		switch i.reportFields[n] {
		case config.PositionReportField:
			position = float64(value)
		case config.PrimaryReportField:
			primary = value == 1
		}
	}
	return position, primary
}

// timerFired records that no timer is set, unless the timer that fired is not the current one.
func (i *instance) timerFired(timer uint32) {
	if timer == i.timerNumber {
		i.timerAt = math.Inf(1)
	}
}

// Forward implements inflight.Executor.
func (i *instance) Forward(command uint32, _, endpoint int, deadline float64) {
	i.actions.Forward(command, i.addresses.Key(endpoint), i.clock(deadline))
}

// Cancel implements inflight.Executor.
func (i *instance) Cancel(command uint32, attempt int) { i.actions.CancelAttempt(command, attempt) }

// Reject implements inflight.Executor.
func (i *instance) Reject(command uint32, retryAfter float64) {
	i.actions.Reject(command, uint64(retryAfter/secondsPerNanosecond))
}

// Fail implements inflight.Executor.
func (i *instance) Fail(command uint32) { i.actions.Fail(command) }

// finish ends a batch: it reviews the commands that are due and adds the instance's actions to the reply.
func (i *instance) finish(reply *simproto.Reply) {
	i.active = false
	if i.crashed {
		return
	}
	i.guard(i.reviewDue)
	if i.fault != "" {
		i.actions.Reset()
		i.actions.ReportFault(i.fault)
	}
	if i.actions.Empty() {
		return
	}
	reply.SelectInstance(i.id)
	reply.Append(&i.actions)
	i.actions.Reset()
}

// reviewDue reviews the commands that are due, does the router's maintenance and sets the next timer.
func (i *instance) reviewDue() {
	next, maintenance := i.commands.ReviewDue(i.now)
	for _, endpoint := range maintenance.HealthCheck {
		i.actions.HealthCheck(i.addresses.Key(endpoint))
	}
	for _, endpoint := range maintenance.Release {
		i.addresses.Release(endpoint)
	}
	if maintenance.Subscribe {
		i.actions.Subscribe()
	}
	if next < i.timerAt {
		i.setTimer(next)
	}
}

// setTimer replaces the current timer. The earlier one still fires and is then ignored.
func (i *instance) setTimer(at float64) {
	i.timerAt = at
	i.timerNumber++
	delay := math.Ceil((at - i.now) / secondsPerNanosecond)
	i.actions.SetTimer(uint64(math.Max(0, delay)), i.timerNumber)
}
