package hosted

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRefusalOfServerNeedsEvidence guards against a request that has run and whose
// caller is told by the server's status that it has not, so that it sends the request
// again: a faulty server fails with 503, 429 or 408, but does not state that it has
// refused the request. A refusal that the server does state stays one.
func TestRefusalOfServerNeedsEvidence(t *testing.T) {
	for name, zone := range map[string]string{"own region": "cairo-a", "other region": "alex-a"} {
		t.Run(name, func(t *testing.T) {
			var cases []streamCase
			wantStatus := make(map[string]int)
			for _, kind := range []string{"unsafe", "stream", "safe", resumableStream} {
				for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
					for _, evidence := range []bool{false, true} {
						header, want := "Signature: signed\r\nRetry-After: 0.1\r\n", http.StatusBadGateway
						if evidence {
							header, want = "Not-Executed: 1\r\n", http.StatusServiceUnavailable
						} else if kind == "safe" || kind == resumableStream {
							want = status // no harm is done by repeating the request
						}
						line := strconv.Itoa(status) + " " + http.StatusText(status)
						test := streamCase{
							name: fmt.Sprintf("%s, %d, evidence %t", kind, status, evidence), service: fmt.Sprintf("orders-%d", len(cases)),
							kind: kind, backend: scriptedBackend{first: answer{failure(line, header, "failed"), false}},
						}
						cases, wantStatus[test.service] = append(cases, test), want
					}
				}
			}
			n := newFleet(t).startCases(cases, zone)
			for _, test := range cases {
				t.Run(test.name, func(t *testing.T) {
					c := qt.New(t)
					got := n.send(n.request("POST", "/"+test.service+"/", "id-1", "x"))
					c.Assert(got.err, qt.IsNil)
					want := wantStatus[test.service]
					c.Assert(got.status, qt.Equals, want)
					switch want {
					case http.StatusBadGateway:
						c.Assert(got.header.Get("Signature"), qt.Equals, "", qt.Commentf("signature of a response with another status"))
					case http.StatusServiceUnavailable:
						c.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
					default:
						c.Assert(got.header.Get("Signature"), qt.Equals, "signed")
					}
				})
			}
		})
	}
}
