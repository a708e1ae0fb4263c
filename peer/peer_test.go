package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/internal/testca"
	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/peer"
)

// Greeting is the argument of the test methods.
type Greeting struct {
	Text   string
	caller peer.Identity
}

// SetCaller implements peer.CallerSetter.
func (g *Greeting) SetCaller(caller peer.Identity) { g.caller = caller }

// Echo is a receiver whose Wait method blocks until release is closed.
type Echo struct{ release chan struct{} }

// Say replies with the id of the calling instance and the text.
func (Echo) Say(g *Greeting, reply *string) error {
	*reply = g.caller.ID + ":" + g.Text
	return nil
}

// Wait returns after release is closed.
func (e Echo) Wait(_ *Greeting, _ *string) error {
	<-e.release
	return nil
}

var (
	alice = peer.Identity{ID: "a", Region: "cairo"}
	bob   = peer.Identity{ID: "b", Region: "alex"}
)

func credentials(c *qt.C, ca *testca.CA, dir string, id peer.Identity) *peer.Credentials {
	files, err := ca.Issue(dir, id.URI())
	c.Assert(err, qt.IsNil)
	creds, err := peer.LoadCredentials(id, files.Cert, files.Key, files.CA)
	c.Assert(err, qt.IsNil)
	return creds
}

func newCA(c *qt.C) *testca.CA {
	ca, err := testca.New()
	c.Assert(err, qt.IsNil)
	return ca
}

// serve runs a server of bob and returns its instance, with its address.
func serve(c *qt.C, creds *peer.Credentials, echo Echo) (listing.Instance, *peer.Server) {
	server := peer.NewServer(bob, creds, &peer.Traffic{})
	c.Assert(server.Register("Echo", echo), qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(func() {
		server.Close()
		_ = listener.Close()
	})
	return listing.Instance{ID: bob.ID, Region: bob.Region, ControlAddr: listener.Addr().String()}, server
}

func newClient(c *qt.C, creds *peer.Credentials) (*peer.Client, *peer.Traffic) {
	traffic := &peer.Traffic{}
	client := peer.NewClient(alice, creds, traffic)
	c.Cleanup(client.Close)
	return client, traffic
}

func TestCallPassesCallerIdentityAndReusesConnection(t *testing.T) {
	c := qt.New(t)
	ca := newCA(c)
	to, _ := serve(c, credentials(c, ca, c.TempDir(), bob), Echo{})
	client, traffic := newClient(c, credentials(c, ca, c.TempDir(), alice))
	for range 3 {
		var reply string
		c.Assert(client.Call(context.Background(), to, "Echo.Say", &Greeting{Text: "x"}, &reply), qt.IsNil)
		c.Assert(reply, qt.Equals, "a:x")
	}
	c.Assert(traffic.Counts().Dials, qt.Equals, uint64(1))
	c.Assert(traffic.Counts().Calls, qt.Equals, uint64(3))
}

// TestDeadlineExceededClosesConnection guards against calls that wait forever for
// an instance that does not respond.
func TestDeadlineExceededClosesConnection(t *testing.T) {
	c := qt.New(t)
	echo := Echo{release: make(chan struct{})}
	to, _ := serve(c, nil, echo)
	defer close(echo.release)
	client, traffic := newClient(c, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var reply string
	err := client.Call(ctx, to, "Echo.Wait", &Greeting{}, &reply)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	// The next call uses a new connection, without the call that timed out.
	c.Assert(client.Call(context.Background(), to, "Echo.Say", &Greeting{Text: "y"}, &reply), qt.IsNil)
	c.Assert(traffic.Counts().Dials, qt.Equals, uint64(2))
}

// TestPendingCallsAreBoundedPerConnection guards against an unlimited number of
// calls that wait on one connection.
func TestPendingCallsAreBoundedPerConnection(t *testing.T) {
	c := qt.New(t)
	echo := Echo{release: make(chan struct{})}
	to, _ := serve(c, nil, echo)
	client, _ := newClient(c, nil)
	const calls = 80
	results := make(chan error, calls)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range calls {
		go func() {
			var reply string
			results <- client.Call(ctx, to, "Echo.Wait", &Greeting{}, &reply)
		}()
	}
	// All refusals must arrive before release is closed: a call that starts after
	// others have ended would be accepted.
	const accepted = 64
	for range calls - accepted {
		c.Assert(<-results, qt.ErrorIs, peer.ErrBusy)
	}
	close(echo.release)
	for range accepted {
		c.Assert(<-results, qt.IsNil)
	}
}

// TestUnverifiedIdentityIsRefused covers a call for another instance than the one
// at the address, a client without a certificate, one with a certificate of an
// unknown CA, and one whose certificate names another instance than its hello.
func TestUnverifiedIdentityIsRefused(t *testing.T) {
	c := qt.New(t)
	ca := newCA(c)
	to, _ := serve(c, credentials(c, ca, c.TempDir(), bob), Echo{})
	good := credentials(c, ca, c.TempDir(), alice)
	mallory := peer.Identity{ID: "m", Region: "cairo"}
	call := func(self peer.Identity, creds *peer.Credentials, to listing.Instance) error {
		client := peer.NewClient(self, creds, &peer.Traffic{})
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var reply string
		return client.Call(ctx, to, "Echo.Say", &Greeting{}, &reply)
	}
	other := to
	other.ID = "successor"
	c.Check(call(alice, good, to), qt.IsNil)
	c.Check(call(alice, good, other), qt.ErrorIs, peer.ErrIdentity)
	c.Check(call(alice, nil, to), qt.IsNotNil)
	c.Check(call(alice, credentials(c, newCA(c), c.TempDir(), alice), to), qt.IsNotNil)
	c.Check(call(alice, credentials(c, ca, c.TempDir(), mallory), to), qt.IsNotNil)
}

// TestCallForOtherInstanceWithoutTLSIsRefused guards the check of the hello, which
// is the only check of the called instance without TLS.
func TestCallForOtherInstanceWithoutTLSIsRefused(t *testing.T) {
	c := qt.New(t)
	to, _ := serve(c, nil, Echo{})
	to.ID = "predecessor"
	client, _ := newClient(c, nil)
	var reply string
	err := client.Call(context.Background(), to, "Echo.Say", &Greeting{}, &reply)
	c.Assert(err, qt.IsNotNil)
}

// TestCredentialRotation replaces the CA and certificates of both sides without a
// restart.
func TestCredentialRotation(t *testing.T) {
	c := qt.New(t)
	old, fresh := newCA(c), newCA(c)
	aliceDir, bobDir := c.TempDir(), c.TempDir()
	aliceCreds := credentials(c, old, aliceDir, alice)
	to, _ := serve(c, credentials(c, old, bobDir, bob), Echo{})
	_, err := fresh.Issue(aliceDir, alice.URI())
	c.Assert(err, qt.IsNil)
	say := func() error {
		client := peer.NewClient(alice, aliceCreds, &peer.Traffic{})
		defer client.Close()
		var reply string
		return client.Call(context.Background(), to, "Echo.Say", &Greeting{}, &reply)
	}
	c.Assert(say(), qt.IsNotNil)
	_, err = fresh.Issue(bobDir, bob.URI())
	c.Assert(err, qt.IsNil)
	c.Assert(say(), qt.IsNil)
	c.Assert(errors.Unwrap(aliceCreds.Err()), qt.IsNil)
}

func BenchmarkCall(b *testing.B) {
	for _, mode := range []string{"tls", "insecure"} {
		b.Run(mode, func(b *testing.B) {
			c := qt.New(b)
			var bobCreds, aliceCreds *peer.Credentials
			if mode == "tls" {
				ca := newCA(c)
				bobCreds, aliceCreds = credentials(c, ca, c.TempDir(), bob), credentials(c, ca, c.TempDir(), alice)
			}
			to, _ := serve(c, bobCreds, Echo{})
			client, traffic := newClient(c, aliceCreds)
			var reply string
			call := func() {
				if err := client.Call(context.Background(), to, "Echo.Say", &Greeting{Text: "x"}, &reply); err != nil {
					b.Fatal(err)
				}
			}
			call()
			before := traffic.Counts()
			b.ReportMetric(float64(before.SentBytes+before.ReceivedBytes), "first-call-wire-bytes")
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				call()
			}
			after := traffic.Counts()
			bytes := after.SentBytes + after.ReceivedBytes - before.SentBytes - before.ReceivedBytes
			b.ReportMetric(float64(bytes)/float64(b.N), "wire-bytes/call")
			b.ReportMetric(float64(before.SentBytes+before.ReceivedBytes), "first-call-wire-bytes")
		})
	}
}
