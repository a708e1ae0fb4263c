package dispatch

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/internal/check"
)

// errNotRateLimit is the cause of a *check.FieldError of a header with a rate limit.
var errNotRateLimit = errors.New("is no single decimal number")

// ReadRateLimit sets RateLimit and Ignored from the header in which a backend server
// names its limit on requests. Without the header, the server has no limit. A value
// that cannot be used tells neither of a limit nor of its end. That includes 0: a server
// that wants no requests at all asks for a pause, or leaves.
func (info *ResponseInfo) ReadRateLimit(resp *http.Response, limitHeader string) {
	report := &backend.RateLimitReport{ReceivedAt: time.Now()}
	if values := resp.Header.Values(limitHeader); len(values) > 0 {
		rate, err := parseRateLimit(values)
		if err != nil {
			info.ignore(limitHeader, strings.Join(values[:min(len(values), maxElements)], ", "), err)
			return
		}
		report.Rate = rate
	}
	info.RateLimit = report
}

// parseRateLimit parses the values of a header with a rate limit: one decimal number
// without sign and exponent.
func parseRateLimit(values []string) (float64, error) {
	text := strings.TrimSpace(values[0])
	if len(values) > 1 || strings.Trim(text, "0123456789.") != "" {
		return 0, errNotRateLimit
	}
	rate, err := strconv.ParseFloat(text, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		return 0, check.ErrOutOfRange
	case err != nil:
		return 0, errNotRateLimit
	case rate == 0 || (backend.RateLimitReport{Rate: rate}).Validate() != nil:
		return 0, check.ErrOutOfRange
	}
	return rate, nil
}
