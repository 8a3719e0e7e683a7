package gateway

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// panics counts the panics in background tasks by task.
var panics = expvar.NewMap("Panics")

// protect carries out one step of a background task. A panic ends the step and not the
// process, which would cut off the calls in flight: the task goes on with its next step.
// The tasks that keep the view of the store aren't protected as a whole, since an instance
// with a view that nobody updates has to end; there, only the decoding of single entries
// is.
func (g *Gateway) protect(task string, step func()) {
	defer func() {
		if cause := recover(); cause != nil {
			panics.Add(task, 1)
			g.Log.Error("TaskPanicked", zap.String("Task", task), zap.String("Cause", fmt.Sprint(cause)), zap.ByteString("Stack", debug.Stack()))
		}
	}()
	step()
}
