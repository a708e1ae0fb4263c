package membership

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/peer"
)

// Names of the RPC service and its methods. ServiceName is short, since net/rpc
// sends it twice with each call.
const (
	ServiceName  = "M"
	methodProbe  = ServiceName + ".Probe"
	methodRelay  = ServiceName + ".Relay"
	methodDigest = ServiceName + ".Digest"
	methodPull   = ServiceName + ".Pull"
)

// ProbeArgs are the arguments of Service.Probe.
type ProbeArgs struct {
	Message Message
	caller  peer.Identity
}

// SetCaller implements peer.CallerSetter.
func (a *ProbeArgs) SetCaller(caller peer.Identity) { a.caller = caller }

// RelayArgs are the arguments of Service.Relay: the instance to probe on behalf of
// the calling instance.
type RelayArgs struct{ To listing.Instance }

// RelayReply is the result of Service.Relay: whether the instance answered the
// probe.
type RelayReply struct{ Reached bool }

// Service is the net/rpc receiver for calls of other instances. It must be
// registered at the peer.Server as ServiceName.
type Service struct{ runner *Runner }

// Service returns the RPC receiver that passes calls to r.
func (r *Runner) Service() *Service { return &Service{r} }

// Probe merges the message of a probe and replies with one of this instance.
func (s *Service) Probe(args *ProbeArgs, reply *Message) error {
	s.runner.merge(args.Message)
	*reply = s.runner.StateMachine.Compose(time.Now(), args.caller.ID)
	return nil
}

// Relay probes an instance on behalf of the calling one.
func (s *Service) Relay(args *RelayArgs, reply *RelayReply) error {
	reply.Reached = s.runner.probe(s.runner.ctx, args.To) == nil
	return nil
}

// Digest compares the digest of the caller's view with that of this instance.
func (s *Service) Digest(args *DigestArgs, reply *DigestReply) error {
	*reply = s.runner.StateMachine.Digest(*args)
	return nil
}

// Pull merges the caller's records and replies with those of the same regions.
func (s *Service) Pull(args *PullArgs, reply *PullReply) error {
	before := s.runner.StateMachine.Incarnation()
	*reply = s.runner.StateMachine.Pull(time.Now(), *args)
	if s.runner.StateMachine.Incarnation() != before {
		go s.runner.push(s.runner.ctx)
	}
	return nil
}
