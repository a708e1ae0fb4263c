package dispatch

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/internal/check"
)

const retryAfterHeader = "Retry-After"

// maxElements is the number of elements of a list that are read.
const maxElements = 16

// Causes of a *check.FieldError of a header.
var (
	errNotAnnouncement = errors.New("is neither 0 nor 1")
	errNotPause        = errors.New("is neither a number of seconds nor a date")
)

// ReadWithdrawal sets Draining, Pause and Ignored from the headers with which a
// backend server withdraws from new requests: leavingHeader, whose value is 1 or 0,
// and Retry-After in a response with status 503. An element of a repeated header or
// of a list counts like the value of a header of its own; one that cannot be used
// does not invalidate the others.
func (info *ResponseInfo) ReadWithdrawal(resp *http.Response, leavingHeader string) {
	for _, value := range elements(resp.Header.Values(leavingHeader)) {
		switch value {
		case "1":
			info.Draining = true
		case "0":
		default:
			info.ignore(leavingHeader, value, errNotAnnouncement)
		}
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	values := resp.Header.Values(retryAfterHeader)
	for _, value := range values[:min(len(values), maxElements)] {
		info.readRetryAfter(value, resp.Header.Get("Date"))
	}
}

// readRetryAfter extends Pause to the longest time in a Retry-After header. A date
// is compared with the one of the response, which is of the same clock.
func (info *ResponseInfo) readRetryAfter(value, date string) {
	if at, err := http.ParseTime(value); err == nil {
		info.Pause = max(info.Pause, at.Sub(responseTime(date)))
		return
	}
	for _, element := range elements([]string{value}) {
		pause, err := parseSeconds(element)
		if err != nil {
			info.ignore(retryAfterHeader, element, err)
			continue
		}
		if pause >= minUnixTime && pause < math.MaxInt64 {
			pause = time.Unix(0, 0).Add(pause).Sub(responseTime(date))
		}
		info.Pause = max(info.Pause, pause)
	}
}

// Retry-After values of more than three decades are a Unix time in place of a
// duration: in seconds, or in milliseconds if it would be in the far future.
const (
	minUnixTime       = 1e9 * time.Second
	minUnixTimeMillis = 1e12 // in seconds, more than a time.Duration holds
)

// responseTime returns the time in the Date header of a response, or now if it has
// none.
func responseTime(date string) time.Time {
	at, err := http.ParseTime(date)
	if err != nil {
		return time.Now()
	}
	return at
}

// parseSeconds parses a decimal number of seconds without sign and exponent. One
// that exceeds a time.Duration becomes the longest one.
func parseSeconds(text string) (time.Duration, error) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, errNotPause
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, errNotPause
	}
	if seconds >= minUnixTimeMillis {
		seconds /= 1000
	}
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func (info *ResponseInfo) ignore(header, value string, cause error) {
	info.Ignored = append(info.Ignored, &check.FieldError{Field: header, Value: check.Shorten(value), Cause: cause})
}

// elements returns the first elements of a header whose value is a list, which may
// be spread over several header lines.
func elements(values []string) []string {
	var list []string
	for _, value := range values {
		for element := range strings.SplitSeq(value, ",") {
			if len(list) == maxElements {
				return list
			}
			list = append(list, strings.TrimSpace(element))
		}
	}
	return list
}
