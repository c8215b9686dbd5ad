package simproto

import (
	"encoding/binary"
	"math"
)

// actionCode is the first byte of an action.
type actionCode byte

const (
	actionForward        actionCode = 1
	actionFail           actionCode = 3
	actionCancelAttempt  actionCode = 4
	actionReject         actionCode = 6
	actionSetTimer       actionCode = 7
	actionSubscribe      actionCode = 8
	actionReportFault    actionCode = 10
	actionHealthCheck    actionCode = 11
	actionSelectInstance actionCode = 13
)

// replyHeaderSize is the length of a reply's header, in bytes. The header holds the number of bytes that follow.
const replyHeaderSize = 4

// Reply collects the actions that answer one batch. Reset must be called before the first action.
type Reply struct{ data []byte }

// Reset empties the reply, leaving room for its header.
func (r *Reply) Reset() { r.data = append(r.data[:0], make([]byte, replyHeaderSize)...) }

// Frame returns the reply with its header filled in. The result is valid until the next Reset.
func (r *Reply) Frame() []byte {
	binary.LittleEndian.PutUint32(r.data, uint32(len(r.data)-replyHeaderSize))
	return r.data
}

// Empty reports whether the reply holds no action.
func (r *Reply) Empty() bool { return len(r.data) <= replyHeaderSize }

// Append appends another reply's actions.
func (r *Reply) Append(other *Reply) { r.data = append(r.data, other.data[replyHeaderSize:]...) }

// SelectInstance selects the instance to which the following actions belong.
func (r *Reply) SelectInstance(instance uint32) {
	r.action(actionSelectInstance)
	r.uint32(instance)
}

// Forward begins an attempt of a command at an endpoint. The attempt times out at the clock time deadline, in
// nanoseconds.
func (r *Reply) Forward(command uint32, address Address, deadline uint64) {
	r.action(actionForward)
	r.uint32(command)
	r.address(address)
	r.uint64(deadline)
}

// CancelAttempt cancels one attempt of a command.
func (r *Reply) CancelAttempt(command uint32, attempt int) {
	r.action(actionCancelAttempt)
	r.uint32(command)
	r.data = append(r.data, byte(attempt))
}

// Reject ends a command as rejected. retryAfter is the time that the client is asked to wait before it retries, in
// nanoseconds; 0 asks for nothing.
func (r *Reply) Reject(command uint32, retryAfter uint64) {
	r.action(actionReject)
	r.uint32(command)
	r.uint64(retryAfter)
}

// Fail ends a command as failed.
func (r *Reply) Fail(command uint32) {
	r.action(actionFail)
	r.uint32(command)
}

// SetTimer asks for a timer that fires after delay nanoseconds.
func (r *Reply) SetTimer(delay uint64, timer uint32) {
	r.action(actionSetTimer)
	r.uint64(delay)
	r.uint32(timer)
}

// Subscribe subscribes the instance to changes of the endpoint list.
func (r *Reply) Subscribe() {
	const on = 1
	r.action(actionSubscribe)
	r.data = append(r.data, on)
}

// HealthCheck asks for a health check of an endpoint.
func (r *Reply) HealthCheck(address Address) {
	r.action(actionHealthCheck)
	r.address(address)
}

// ReportFault reports that the instance cannot go on, and why. A text longer than the frame allows is cut.
func (r *Reply) ReportFault(text string) {
	text = text[:min(len(text), math.MaxUint16)]
	r.action(actionReportFault)
	r.data = binary.LittleEndian.AppendUint16(r.data, uint16(len(text)))
	r.data = append(r.data, text...)
}

func (r *Reply) action(code actionCode) { r.data = append(r.data, byte(code)) }
func (r *Reply) uint32(value uint32)    { r.data = binary.LittleEndian.AppendUint32(r.data, value) }

func (r *Reply) uint64(value uint64)     { r.data = binary.LittleEndian.AppendUint64(r.data, value) }
func (r *Reply) address(address Address) { r.data = append(r.data, address[:]...) }
