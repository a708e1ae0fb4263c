package backend

import (
	"strconv"

	"github.com/fuchsiastack/fuchsiastack/internal/check"
)

// MaxCount is the highest valid number of slots or requests of a server. It keeps
// sums over all servers far from an overflow.
const MaxCount = 1 << 16

// Validate returns a *check.FieldError if requests cannot be sent to the server
// because of its id, address or number of slots.
func (i *Info) Validate() error {
	if err := check.HeaderValue(i.ID); err != nil {
		return check.Field("id", i.ID, err)
	}
	if err := check.Addr(i.Addr); err != nil {
		return check.Field("addr", i.Addr, err)
	}
	return checkCount("slots", i.Slots)
}

// Validate returns a *check.FieldError if a number is negative or too large.
func (l *Load) Validate() error {
	if err := checkCount("running", l.Running); err != nil {
		return err
	}
	if err := checkCount("waiting", l.Waiting); err != nil {
		return err
	}
	if err := checkCount("slots", l.Slots); err != nil {
		return err
	}
	return l.Slowdown.Validate()
}

func checkCount(name string, count int) error {
	if count < 0 || count > MaxCount {
		return check.Field(name, strconv.Itoa(count), check.ErrOutOfRange)
	}
	return nil
}
