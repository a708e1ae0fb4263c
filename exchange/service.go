package exchange

import "github.com/go-faster/errors"

// Methods of the service. The name is short: net/rpc sends it twice with each
// call.
const (
	ServiceName = "X"
	methodPull  = ServiceName + ".Pull"
)

// PullArgs bring the versions that the caller has.
type PullArgs struct {
	Scope  int
	Vector []byte
}

// PullReply brings what the caller does not have.
type PullReply struct {
	Entries []Entry
	Beats   []byte
}

// Service answers the calls of other instances; register it at the
// peer.Server as ServiceName.
type Service struct{ carrier *Carrier }

// Service returns the receiver for calls.
func (c *Carrier) Service() *Service { return &Service{c} }

// errScope is returned for a scope that does not exist.
var errScope = errors.New("exchange: no such scope")

// Pull answers with what is newer here.
func (s *Service) Pull(args *PullArgs, reply *PullReply) error {
	if args.Scope < 0 || args.Scope >= scopeCount {
		return errScope
	}
	*reply = s.carrier.pull(args.Scope, args.Vector)
	return nil
}
