package peer

import (
	"errors"
	"fmt"
	"net"

	"connectrpc.com/connect"
)

// CallError reports a failed call to another instance.
type CallError struct {
	Method  string
	Address string
	Err     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("peer call %s to %s: %v", e.Method, e.Address, e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// Answered reports whether the other instance answered the call with this error.
func (e *CallError) Answered() bool {
	return connect.IsWireError(e.Err)
}

// NotSent reports whether dialling failed, so that the call cannot have reached
// the other instance.
func (e *CallError) NotSent() bool {
	var op *net.OpError
	return errors.As(e.Err, &op) && op.Op == "dial"
}
