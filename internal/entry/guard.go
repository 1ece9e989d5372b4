package entry

import (
	"fmt"
	"runtime/debug"
)

// maxStackBytes limits the stack in the log line of an unexpected error.
const maxStackBytes = 4 << 10

// guard runs one step of a duty. A panic in it, which an unforeseen message or object
// may cause, is logged with its stack and ends the step, not the process: the host
// keeps serving with what it knows, and the next step works on newer data.
func (n *Node) guard(duty string, step func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		stack := debug.Stack()
		n.counters.countPanic(duty)
		n.log.Emit(evPanic, "duty", duty, "error", fmt.Sprint(p), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	}()
	step()
}
