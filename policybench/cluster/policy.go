package cluster

import (
	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Result is how an attempt, a forwarded request or a request ended.
type Result struct {
	Outcome outcome.Outcome
	Code    outcome.Code // empty if served
}

// Policy makes the decisions of all instances. It answers by calling Send,
// Forward, Cancel and Finish of the Cluster. A policy must not use what an
// instance cannot know at that time.
type Policy interface {
	// Start is called once before the first request.
	Start(c *Cluster)
	// Arrive is called when a request reaches an instance, from its caller or
	// forwarded by another instance.
	Arrive(t *Task)
	// FirstToken is called when the answer's first token reaches the instance.
	FirstToken(t *Task)
	// Ended is called when an attempt or the forwarding of a task has ended.
	// A served task is finished by the cluster; any other waits for a decision.
	Ended(t *Task, r Result)
	// Dropped is called when a task ends because its deadline has passed, or
	// the instance that forwarded it is gone. Its attempt is already canceled.
	Dropped(t *Task)
	// Load is called when a load report reaches an instance.
	Load(in *Instance, s *Server, load backend.Load)
}
