package backend

import "time"

// weightsTTL is how long the version of a server's weights is relied on. A server that
// loads other weights shows them in its next response.
const weightsTTL = 10 * time.Second

// weights is the version of the weights that a response of a server has shown.
type weights struct {
	version string
	at      time.Time
}

// SetWeights records the version of the server's weights that a response has shown.
func (s *Server) SetWeights(now time.Time, version string) {
	if last := s.weights.Load(); last == nil || last.version != version || now.Sub(last.at) > weightsTTL/10 {
		s.weights.Store(&weights{version, now})
	}
}

// MayHaveWeights reports whether the server may have the given version of the weights. It
// may unless a recent response has shown another one.
func (s *Server) MayHaveWeights(now time.Time, version string) bool {
	last := s.weights.Load()
	return version == "" || last == nil || last.version == version || now.Sub(last.at) > weightsTTL
}
