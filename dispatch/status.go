package dispatch

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// errBadStatus is the cause of a response whose status is not one of a final response of
// HTTP. net/http accepts every status of three digits as such, except 100 and 102 to 199,
// which it skips. It panics when a status below 100 is sent on.
var errBadStatus = errors.New("status is not 200 to 599")

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// rejectStatus returns the error of a response whose status is not 200 to 599, or nil.
// Nothing else in such a response can be relied on, so that it promises nothing, and its
// connection is not used again. source is the sender of resp, for errors.
func (g *gate) rejectStatus(resp *http.Response, source string) *outcome.Error {
	if resp.StatusCode >= http.StatusOK && resp.StatusCode <= maxStatus {
		return nil
	}
	if conn := g.owner.Load(); conn != nil {
		conn.retire(g)
	}
	return outcome.Fail(outcome.CodeBackendFailed, errors.Wrapf(errBadStatus, "read response of %s: status %03d", source, resp.StatusCode), "the backend server sent an invalid response")
}
