package daemon

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/peer"
)

// peering is how this instance talks to other instances.
type peering struct {
	creds   *peer.Credentials // nil with Settings.PeerInsecure
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

// scheme is the URL scheme of requests to other instances.
func (p *peering) scheme() string {
	if p.creds == nil {
		return "http"
	}
	return "https"
}

// secure puts a listener for requests of other instances under TLS.
func (p *peering) secure(listener net.Listener) net.Listener {
	if p.creds == nil {
		return listener
	}
	return tls.NewListener(listener, p.creds.ServerConfig())
}

// dialTLS returns the dial function of requests to other instances, which
// refuses an address where another instance than expected answers.
func (p *peering) dialTLS(dial peer.DialFunc, expect func(addr string) (peer.Identity, bool)) peer.DialFunc {
	if p.creds == nil {
		return nil
	}
	return p.creds.DialTLS(dial, expect)
}

// hopSender returns the function that tells which instance forwards a
// request, or nil without authentication.
func (p *peering) hopSender() func(*http.Request) (instance, region string, err error) {
	if p.creds == nil {
		return nil
	}
	return func(r *http.Request) (instance, region string, err error) {
		id, err := peer.IdentityOf(r.TLS)
		return id.ID, id.Region, err
	}
}

// close ends the control connections.
func (p *peering) close(listener net.Listener) {
	p.client.Close()
	p.server.Close()
	_ = listener.Close()
}
