package exchange

import "github.com/go-faster/errors"

// Names of the RPC service and its method. The service name is short because
// net/rpc sends it twice per call.
const (
	ServiceName = "X"
	methodPull  = ServiceName + ".Pull"
)

// PullArgs holds the scope to pull and the versions that the calling instance
// has, as an encoded vector.
type PullArgs struct {
	Scope  int
	Vector []byte
}

// PullReply holds what is newer than the vector in PullArgs: entries with
// changed parts, and encoded heartbeats of origins without changes.
type PullReply struct {
	Entries []Entry
	Beats   []byte
}

// Service handles the calls of other instances. Register it with the
// peer.Server under ServiceName.
type Service struct{ gossiper *Gossiper }

// Service returns the RPC receiver to register under ServiceName.
func (g *Gossiper) Service() *Service { return &Service{g} }

// errUnknownScope is returned for a scope number that this version does not
// define.
var errUnknownScope = errors.New("exchange: no such scope")

// Pull returns the entries and heartbeats of a scope that are newer than the
// vector in args.
func (s *Service) Pull(args *PullArgs, reply *PullReply) error {
	if args.Scope < 0 || args.Scope >= scopeCount {
		return errUnknownScope
	}
	*reply = s.gossiper.handlePull(args.Scope, args.Vector)
	return nil
}
