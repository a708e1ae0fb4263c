// Package peer transports control messages between the instances. It runs net/rpc
// with mutual TLS over one TCP connection from each instance to each peer that it
// calls, and adds a deadline for every call, a limit on pending calls, and the
// identity of the calling instance.
package peer

import (
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Identity identifies an instance. With TLS it must match the certificate.
type Identity struct {
	ID     string
	Region string
}

// uriScheme is the scheme of the URI subject alternative name of a certificate:
// fuchsia://cairo/entry-1 names instance entry-1 of region cairo.
const uriScheme = "fuchsia"

// URI returns the URI subject alternative name for a certificate of the instance.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: i.Region, Path: "/" + i.ID}
}

// parseURI is the inverse of Identity.URI.
func parseURI(u *url.URL) (Identity, bool) {
	id := strings.TrimPrefix(u.Path, "/")
	return Identity{ID: id, Region: u.Host}, u.Scheme == uriScheme && u.Host != "" && id != ""
}

// CallerSetter is implemented by argument types of methods that need the identity
// of the calling instance. SetCaller must store it in an unexported field, which a
// message cannot set.
type CallerSetter interface {
	SetCaller(caller Identity)
}

// Errors of calls and connections.
var (
	ErrBusy     = errors.New("peer: too many pending calls on the connection")
	ErrClosed   = errors.New("peer: client is closed")
	ErrIdentity = errors.New("peer: instance identity verification failed")
)

// hello is the first message of a connection. The server closes a connection that
// was opened for another instance, such as one that used the same address before.
type hello struct {
	From Identity
	To   Identity // zero if the calling instance has only the address
}

// Traffic counts calls, dials, and bytes on the wire, which include the overhead
// of TLS.
type Traffic struct {
	sent, received, calls, dials atomic.Uint64
}

// Counts are the totals of a Traffic since it was created.
type Counts struct {
	SentBytes     uint64 `json:"sent_bytes"`
	ReceivedBytes uint64 `json:"received_bytes"`
	Calls         uint64 `json:"calls"` // made by this instance
	Dials         uint64 `json:"dials"` // made by this instance
}

// Counts returns the totals so far.
func (t *Traffic) Counts() Counts {
	return Counts{
		SentBytes:     t.sent.Load(),
		ReceivedBytes: t.received.Load(),
		Calls:         t.calls.Load(),
		Dials:         t.dials.Load(),
	}
}
