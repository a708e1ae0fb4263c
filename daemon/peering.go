package daemon

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/peer"
)

// peering holds the credentials and the RPC client and server for communication
// with other instances.
type peering struct {
	creds   *peer.Credentials // nil if Settings.PeerInsecure is set
	traffic *peer.Traffic
	client  *peer.Client
	server  *peer.Server
}

func newPeering(s *Settings) (*peering, error) {
	self := peer.Identity{ID: s.Instance, Region: s.Region}
	p := &peering{traffic: &peer.Traffic{}}
	if !s.PeerInsecure {
		creds, err := peer.LoadCredentials(self, s.PeerCert, s.PeerKey, s.PeerCA)
		if err != nil {
			return nil, err
		}
		p.creds = creds
	}
	p.client = peer.NewClient(self, p.creds, p.traffic)
	p.server = peer.NewServer(self, p.creds, p.traffic)
	return p, nil
}

func identityOf(i listing.Instance) peer.Identity {
	return peer.Identity{ID: i.ID, Region: i.Region}
}

// scheme returns the URL scheme of requests to other instances.
func (p *peering) scheme() string {
	if p.creds == nil {
		return "http"
	}
	return "https"
}

// wrapTLS wraps the listener for requests of other instances in TLS. It returns
// the listener unchanged if there are no credentials.
func (p *peering) wrapTLS(listener net.Listener) net.Listener {
	if p.creds == nil {
		return listener
	}
	return tls.NewListener(listener, p.creds.ServerConfig())
}

// dialTLS returns the dial function for requests to other instances, or nil
// without credentials. It fails if no instance is expected at an address, or if
// the certificate there does not name the expected instance.
func (p *peering) dialTLS(dial peer.DialFunc, expect func(addr string) (peer.Identity, bool)) peer.DialFunc {
	if p.creds == nil {
		return nil
	}
	return p.creds.DialTLS(dial, expect)
}

// hopSenderFunc returns a function that identifies the instance that forwarded a
// request by its certificate, or nil without credentials.
func (p *peering) hopSenderFunc() func(*http.Request) (instance, region string, err error) {
	if p.creds == nil {
		return nil
	}
	return func(r *http.Request) (instance, region string, err error) {
		id, err := peer.IdentityOf(r.TLS)
		return id.ID, id.Region, err
	}
}

// close closes all control connections and the control listener.
func (p *peering) close(listener net.Listener) {
	p.client.Close()
	p.server.Close()
	_ = listener.Close()
}
