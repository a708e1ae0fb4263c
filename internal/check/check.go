// Package check validates values that other processes have written.
package check

import (
	"encoding/json"
	"net"
	"net/netip"
	"regexp"
	"strconv"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// FieldError reports a field whose value cannot be used.
type FieldError struct {
	Field string // empty: the document as a whole
	Value string // shortened
	Cause error
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return "value " + strconv.Quote(e.Value) + ": " + e.Cause.Error()
	}
	return "field " + e.Field + ": value " + strconv.Quote(e.Value) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Cause }

// Field returns a *FieldError with the cause, or nil if cause is nil.
func Field(name, value string, cause error) error {
	if cause == nil {
		return nil
	}
	return &FieldError{Field: name, Value: Shorten(value), Cause: cause}
}

// maxShown is the number of bytes of a value that errors contain.
const maxShown = 64

// Shorten returns the beginning of a text that is too long for an error.
func Shorten(text string) string {
	if len(text) <= maxShown {
		return text
	}
	return text[:maxShown] + "..."
}

// Causes of a FieldError.
var (
	ErrMissing     = errors.New("is missing or empty")
	ErrOutOfRange  = errors.New("is out of range")
	ErrUnknown     = errors.New("is unknown")
	ErrEncoding    = errors.New("is not valid UTF-8")
	ErrAddress     = errors.New("is not an address of the form host:port")
	ErrHeaderValue = errors.New("is not a valid header value")
)

// DecodeJSON decodes a JSON document into target. Errors are of type *FieldError
// and contain at most the beginning of a value.
func DecodeJSON(data []byte, target any) error {
	if !utf8.Valid(data) {
		return Field("", string(data[:min(len(data), maxShown+1)]), ErrEncoding)
	}
	err := json.Unmarshal(data, target)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return Field(mismatch.Field, mismatch.Value, errors.Errorf("want %s", mismatch.Type))
	}
	return Field("", string(data[:min(len(data), maxShown+1)]), err)
}

// hostName matches host names. The last label is not a number, so that an invalid
// IP address does not count as a name.
var hostName = regexp.MustCompile(`^([A-Za-z0-9_-]{1,63}\.)*[A-Za-z0-9-]{0,62}[A-Za-z-][A-Za-z0-9-]{0,62}$`)

const maxHostName = 253

// Addr checks that an address has the form host:port, with the name of a host or
// the IP address of one, and can be used in a URL.
func Addr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return ErrAddress
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Wrapf(ErrOutOfRange, "port %q", Shorten(port))
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		if ip.Is4() == (addr[0] == '[') || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
			return errors.Wrap(ErrAddress, "not the IP address of a host")
		}
		return nil
	}
	if len(host) > maxHostName || addr[0] == '[' || !hostName.MatchString(host) {
		return ErrAddress
	}
	return nil
}

// HeaderValue checks that a text is not empty and that it reaches a receiver
// unchanged as the value of a header: it consists of printable ASCII characters
// without spaces.
func HeaderValue(text string) error {
	if text == "" {
		return ErrMissing
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return ErrHeaderValue
		}
	}
	return nil
}
