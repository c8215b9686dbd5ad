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
// seconds since its start.
type instance struct {
	id           uint32
	startClock   uint64 // the simulator's clock at its start, in nanoseconds
	now          float64
	router       *router.Router
	commands     *inflight.Tracker
	reportFields []string // of a load report
	groupCount   int      // command groups
	fault        string   // why it cannot go on; empty: it can
	crashed      bool
	active       bool    // named in the present batch
	timerAt      float64 // when the timer that counts fires; infinite: none does
	timerNumber  uint32  // of that timer
	addresses    *idtable.Table[simproto.Address]
	shards       *idtable.Table[int]
	actions      simproto.Reply // of the present batch
}

// newInstance starts a router. Faulty settings are its fault, and reported in reply to the batch.
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

// time is a time of the simulator's clock.
func (i *instance) time(clock uint64) float64 { return seconds(int64(clock - i.startClock)) }

// clock is the simulator's clock at a time.
func (i *instance) clock(at float64) uint64 {
	return i.startClock + uint64(math.Round(at/secondsPerNanosecond))
}

// guard makes a call of the routing decisions, unless they have failed before. A panic is the instance's fault, and
// ends it alone.
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

// updateList hands an endpoint list, or changes of it, to the router.
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

// startedAt is when an endpoint started; long ago where the list does not say.
func (i *instance) startedAt(endpoint simproto.Endpoint) float64 {
	if endpoint.StartedAt == 0 {
		return math.Inf(-1)
	}
	return i.time(endpoint.StartedAt)
}

// addCommand hands a command to the router. A shard that no list has named is -1.
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

// attemptEnded hands an attempt's result to the router.
func (i *instance) attemptEnded(ended simproto.AttemptEnded) {
	result := router.AttemptResult{
		Attempt:  ended.Attempt,
		Result:   results[ended.Result],
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

// healthChecked hands a health check's result to the router, unless the endpoint is no longer known.
func (i *instance) healthChecked(address simproto.Address, result router.Result, elapsed uint64, report []float32) {
	endpoint, known := i.addresses.Lookup(address)
	if !known {
		return
	}
	position, primary := i.readReport(report)
	i.router.HealthChecked(i.now, endpoint, result, seconds(int64(elapsed)), position, primary)
}

// readReport returns the log position of a load report, negative where it holds none, and whether it is a primary's.
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

// timerFired notes that no timer is set, if the one that fired is the one that counts.
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

// finish ends a batch: it reviews what is due and adds the instance's actions to the reply.
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

// setTimer replaces the timer that counts; an earlier one still fires, and is passed over.
func (i *instance) setTimer(at float64) {
	i.timerAt = at
	i.timerNumber++
	delay := math.Ceil((at - i.now) / secondsPerNanosecond)
	i.actions.SetTimer(uint64(math.Max(0, delay)), i.timerNumber)
}
