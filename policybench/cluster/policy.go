package cluster

import (
	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Result is the result of an attempt, of a forwarded request or of a caller's
// request.
type Result struct {
	Outcome outcome.Outcome
	Code    outcome.Code // empty if served
}

// Policy makes the decisions of all instances. It acts by calling the methods
// Send, Forward, Cancel and Finish of the Cluster. The decisions of an instance
// must depend only on information that has reached the instance by that time.
type Policy interface {
	// Start is called once before the first request.
	Start(c *Cluster)
	// OnArrival is called when a request reaches an instance, either from its
	// caller or forwarded by another instance.
	OnArrival(t *Task)
	// OnFirstToken is called when the first token of the response reaches the
	// instance.
	OnFirstToken(t *Task)
	// OnCallEnd is called when an attempt or a forwarded request of a task has
	// ended. If it was served, the cluster finishes the task afterwards; if not,
	// the policy must start another call or finish the task.
	OnCallEnd(t *Task, r Result)
	// OnDrop is called when a task ends because its deadline has passed, the
	// instance that forwarded it has canceled it, or the link to that instance
	// was cut. The task's call in progress is already canceled.
	OnDrop(t *Task)
	// OnLoadReport is called when a load report reaches an instance.
	OnLoadReport(in *Instance, s *Server, load backend.Load)
}
