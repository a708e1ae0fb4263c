// Package peer carries control messages between the instances: net/rpc over
// one TCP connection from each instance to each peer that it calls, under
// mutual TLS. It adds what net/rpc lacks: a deadline for every call, a bound
// on pending calls, and the identity of the caller.
package peer

import (
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Identity names an instance. Under TLS it is bound to the certificate.
type Identity struct {
	ID     string
	Region string
}

// uriScheme is the scheme of the URI name in a certificate, such as
// "fuchsia://cairo/entry-1" for instance entry-1 of region cairo.
const uriScheme = "fuchsia"

// URI returns the URI name that a certificate of the instance carries.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: i.Region, Path: "/" + i.ID}
}

// parseURI is the inverse of Identity.URI.
func parseURI(u *url.URL) (Identity, bool) {
	id := strings.TrimPrefix(u.Path, "/")
	return Identity{ID: id, Region: u.Host}, u.Scheme == uriScheme && u.Host != "" && id != ""
}

// CallerSetter is implemented by argument types of methods that need to know
// who calls. The field behind it must be unexported, so that no message can
// set it.
type CallerSetter interface {
	SetCaller(caller Identity)
}

// Errors of calls.
var (
	ErrBusy     = errors.New("peer: too many pending calls")
	ErrClosed   = errors.New("peer: closed")
	ErrIdentity = errors.New("peer: certificate does not name the expected instance")
)

// hello opens a connection. The server closes a connection that was meant for
// another instance, such as its predecessor under the same address.
type hello struct {
	From Identity
	To   Identity // zero if the caller knows only the address
}

// Traffic counts the bytes on the wire below TLS, and the calls.
type Traffic struct {
	sent, received, calls, dials atomic.Uint64
}

// Counts are the totals of a Traffic.
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
