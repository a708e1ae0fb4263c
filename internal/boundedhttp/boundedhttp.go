// Package boundedhttp makes transports for calls to other programs that may be faulty.
package boundedhttp

import "net/http"

// MaxHeaderBytes is the largest response header that is read. The default of net/http,
// 10 MB for each call, is a large part of an instance's memory.
const MaxHeaderBytes = 64 << 10

// NewTransport returns a transport like http.DefaultTransport that reads at most
// MaxHeaderBytes of the header of a response. The caller bounds the body.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = MaxHeaderBytes
	return transport
}
