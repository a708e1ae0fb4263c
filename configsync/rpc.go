package configsync

// ServiceName is the name of Service among the services of an instance.
const ServiceName = "Config"

// SinceMethod is the method that Peers.Fetch calls.
const SinceMethod = ServiceName + ".Since"

// SinceArgs asks for everything after a revision.
type SinceArgs struct{ After uint64 }

// Service answers other instances. Its methods follow the rules of net/rpc.
type Service struct{ Follower *Follower }

// Since answers with the deltas after args.After or with the whole state.
func (s Service) Since(args *SinceArgs, reply *Update) error {
	*reply = s.Follower.Since(args.After)
	return nil
}
