package peer

import (
	"errors"
	"fmt"
	"net"

	"connectrpc.com/connect"
)

// CallError reports a call to another instance that failed.
type CallError struct {
	Method  string
	Address string
	Err     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("peer call %s to %s: %v", e.Method, e.Address, e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// Answered reports whether the other instance itself gave this error.
func (e *CallError) Answered() bool {
	return connect.IsWireError(e.Err)
}

// NotSent reports whether no connection could be made, so that the call
// cannot have reached the other instance.
func (e *CallError) NotSent() bool {
	var op *net.OpError
	return errors.As(e.Err, &op) && op.Op == "dial"
}
