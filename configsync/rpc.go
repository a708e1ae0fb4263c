package configsync

// ServiceName is the name under which instances register Service.
const ServiceName = "Config"

// SinceMethod is the RPC method that implementations of Peers.Fetch call.
const SinceMethod = ServiceName + ".Since"

// SinceArgs holds the revision after which the update starts.
type SinceArgs struct{ After uint64 }

// Service serves the configuration to other instances over net/rpc.
type Service struct{ Follower *Follower }

// Since replies with the deltas after args.After or with the full state.
func (s Service) Since(args *SinceArgs, reply *Update) error {
	*reply = s.Follower.Since(args.After)
	return nil
}
