package membership

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/peer"
)

// Methods of the service. The name is short: net/rpc sends it twice with each
// call.
const (
	ServiceName  = "M"
	methodProbe  = ServiceName + ".Probe"
	methodRelay  = ServiceName + ".Relay"
	methodDigest = ServiceName + ".Digest"
	methodPull   = ServiceName + ".Pull"
)

// ProbeArgs are a probe and the news it carries.
type ProbeArgs struct {
	Message Message
	caller  peer.Identity
}

// SetCaller implements peer.CallerSetter.
func (a *ProbeArgs) SetCaller(caller peer.Identity) { a.caller = caller }

// RelayArgs ask to probe an instance in the caller's place.
type RelayArgs struct{ To listing.Instance }

// RelayReply tells whether it answered.
type RelayReply struct{ Reached bool }

// Service answers the calls of other instances; register it at the
// peer.Server as ServiceName.
type Service struct{ runner *Runner }

// Service returns the receiver for calls.
func (r *Runner) Service() *Service { return &Service{r} }

// Probe answers a probe.
func (s *Service) Probe(args *ProbeArgs, reply *Message) error {
	s.runner.merge(args.Message)
	*reply = s.runner.Machine.Compose(time.Now(), args.caller.ID)
	return nil
}

// Relay probes another instance.
func (s *Service) Relay(args *RelayArgs, reply *RelayReply) error {
	reply.Reached = s.runner.probe(s.runner.ctx, args.To) == nil
	return nil
}

// Digest compares the records.
func (s *Service) Digest(args *DigestArgs, reply *DigestReply) error {
	*reply = s.runner.Machine.Digest(*args)
	return nil
}

// Pull exchanges records.
func (s *Service) Pull(args *PullArgs, reply *PullReply) error {
	before := s.runner.Machine.Incarnation()
	*reply = s.runner.Machine.Pull(time.Now(), *args)
	if s.runner.Machine.Incarnation() != before {
		go s.runner.push(s.runner.ctx)
	}
	return nil
}
