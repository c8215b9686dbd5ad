package simadapter

import (
	"errors"
	"fmt"

	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/simproto"
)

var (
	errNoInstance      = errors.New("event before any instance was selected")
	errStartUnselected = errors.New("start before any instance was selected")
)

// host passes each record of a batch to the instance that the batch has selected. It implements simproto.Handler.
type host struct {
	clock     uint64 // the simulator's clock at the present batch, in nanoseconds
	instances map[uint32]*instance
	lists     map[int][]simproto.Endpoint // endpoint lists by their id
	active    []*instance                 // instances selected in the present batch, in order
	selected  bool                        // whether the present batch has selected an instance
	currentID uint32                      // id of the instance selected last
	current   *instance                   // the instance selected last; nil if it does not run
	reply     simproto.Reply
}

func newHost() *host {
	return &host{instances: map[uint32]*instance{}, lists: map[int][]simproto.Endpoint{}}
}

// answer returns the reply to a batch. The reply is valid until the next call.
func (h *host) answer(batch simproto.Batch) ([]byte, error) {
	h.clock = batch.Clock
	h.active = h.active[:0]
	h.selected = false
	h.current = nil
	if err := batch.Decode(h); err != nil {
		return nil, err
	}
	h.reply.Reset()
	for _, instance := range h.active {
		instance.finish(&h.reply)
	}
	return h.reply.Frame(), nil
}

// SelectInstance implements simproto.Handler.
func (h *host) SelectInstance(id uint32) error {
	h.selected = true
	h.currentID = id
	h.current = h.instances[id]
	if h.current != nil {
		h.activate(h.current)
	}
	return nil
}

// activate sets an instance's time to the batch's clock and adds it to those that finish at the end of the batch.
func (h *host) activate(i *instance) {
	if !i.active {
		i.active = true
		h.active = append(h.active, i)
	}
	i.now = i.time(h.clock)
}

// instance returns the selected instance, or an error if none was selected or it does not run.
func (h *host) instance() (*instance, error) {
	if !h.selected {
		return nil, errNoInstance
	}
	if h.current == nil {
		return nil, fmt.Errorf("event for unknown instance %d", h.currentID)
	}
	return h.current, nil
}

// guardSelected makes a call on the selected instance; a panic in the call becomes the instance's fault.
func (h *host) guardSelected(call func(*instance)) error {
	i, err := h.instance()
	if err != nil {
		return err
	}
	i.guard(func() { call(i) })
	return nil
}

// StartInstance implements simproto.Handler.
func (h *host) StartInstance(seed uint64, settings []byte) error {
	if !h.selected {
		return errStartUnselected
	}
	h.drop()
	i := newInstance(h.currentID, h.clock, seed, settings)
	h.instances[h.currentID] = i
	h.current = i
	h.activate(i)
	return nil
}

// CrashInstance implements simproto.Handler.
func (h *host) CrashInstance() error {
	if _, err := h.instance(); err != nil {
		return err
	}
	h.drop()
	return nil
}

// drop removes the selected instance and discards the actions that it has not sent yet.
func (h *host) drop() {
	if h.current == nil {
		return
	}
	h.current.crashed = true
	delete(h.instances, h.currentID)
	h.current = nil
}

// DefineList implements simproto.Handler.
func (h *host) DefineList(id int, endpoints []simproto.Endpoint) error {
	h.lists[id] = endpoints
	return nil
}

// UpdateList implements simproto.Handler.
func (h *host) UpdateList(mode simproto.UpdateMode, id int) error {
	i, err := h.instance()
	if err != nil {
		return err
	}
	if mode > simproto.ListFailed {
		return fmt.Errorf("unknown list mode %d", mode)
	}
	if mode == simproto.ListFailed {
		i.guard(func() { i.router.EndpointListFailed(i.now) })
		return nil
	}
	list, defined := h.lists[id]
	if !defined {
		return fmt.Errorf("update names endpoint list %d, which was never defined", id)
	}
	i.guard(func() { i.updateList(list, mode) })
	return nil
}

// Command implements simproto.Handler.
func (h *host) Command(command simproto.Command) error {
	i, err := h.instance()
	if err != nil {
		return err
	}
	if i.fault == "" && command.Group >= i.groupCount {
		return fmt.Errorf("command %d names command group %d of %d", command.ID, command.Group, i.groupCount)
	}
	i.guard(func() { i.addCommand(command) })
	return nil
}

// FirstByte implements simproto.Handler. The event has no effect, since answers are not streamed.
func (h *host) FirstByte(uint32, int) error {
	_, err := h.instance()
	return err
}

// TimerFired implements simproto.Handler. The commands that are due are reviewed at the end of the batch.
func (h *host) TimerFired(timer uint32) error {
	i, err := h.instance()
	if err != nil {
		return err
	}
	i.timerFired(timer)
	return nil
}

// ClientGone implements simproto.Handler.
func (h *host) ClientGone(command uint32) error {
	return h.guardSelected(func(i *instance) { i.commands.ClientGone(i.now, command) })
}

// resultsByCode holds the attempt result for each of the simulator's result codes.
var resultsByCode = [...]router.Result{
	router.Answered, router.Errored, router.Overloaded, router.TimedOut, router.ConnectFailed,
	router.ConnectionLost, router.Canceled, router.NeverSent, router.NotServed,
}

// AttemptEnded implements simproto.Handler.
func (h *host) AttemptEnded(ended simproto.AttemptEnded) error {
	i, err := h.instance()
	if err != nil {
		return err
	}
	if ended.Result >= len(resultsByCode) {
		return fmt.Errorf("unknown result %d of an attempt", ended.Result)
	}
	i.guard(func() { i.attemptEnded(ended) })
	return nil
}

// HealthChecked implements simproto.Handler.
func (h *host) HealthChecked(address simproto.Address, result int, elapsed uint64, report []float32) error {
	i, err := h.instance()
	if err != nil {
		return err
	}
	if result >= len(resultsByCode) {
		return fmt.Errorf("unknown result %d of a health check", result)
	}
	i.guard(func() { i.healthChecked(address, resultsByCode[result], elapsed, report) })
	return nil
}
