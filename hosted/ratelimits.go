package hosted

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

const (
	// maxRateLimitAge is the age above which a report of a rate limit is not passed on:
	// the server has not responded to any instance since.
	maxRateLimitAge = 10 * time.Minute
	// endedRateLimitTime is how long the end of a rate limit is told to other instances.
	// An instance that is cut off for longer learns it from the server.
	endedRateLimitTime = 10 * time.Second
	// newRateLimitTime is how long a changed rate limit is told first.
	newRateLimitTime = 5 * exchangeInterval
	// maxLimitedServers limits the backend servers whose rate limits are told in one
	// exchange. Of more servers, each exchange tells others.
	maxLimitedServers = 32
)

// rateLimits holds reports of the rate limits of backend servers, by id.
type rateLimits map[string]rateLimit

// rateLimit is a report of the rate limit of a backend server.
type rateLimit struct {
	Rate    float64 `json:"rate"` // requests per second; 0: the limit has ended
	AgeMS   int64   `json:"age-ms"`
	Started int64   `json:"started,omitempty"` // of the server's process
}

// currentRateLimits returns the rate limits of servers, and those that have ended
// recently. If there are too many, the latest changes come first.
func currentRateLimits(now time.Time, servers []*backend.Server) rateLimits {
	var changed, others []*backend.Server
	for _, server := range servers {
		report, changedAt := server.LastRateLimit()
		unchanged := now.Sub(changedAt)
		switch {
		case changedAt.IsZero() || now.Sub(report.ReceivedAt) > maxRateLimitAge:
		case report.Rate == 0 && unchanged > endedRateLimitTime:
		case unchanged <= newRateLimitTime:
			changed = append(changed, server)
		default:
			others = append(others, server)
		}
	}
	if len(changed)+len(others) == 0 {
		return nil
	}
	current := make(rateLimits)
	for _, list := range [][]*backend.Server{changed, others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, server := range list[:min(len(list), maxLimitedServers-len(current))] {
			report, _ := server.LastRateLimit()
			current[server.ID] = rateLimit{report.Rate, max(now.Sub(report.ReceivedAt).Milliseconds(), 0), server.Started}
		}
	}
	return current
}

// record records the changed rate limits that another instance has reported in response to a
// query sent at the given time. Those of another process of a server are ignored.
func (l rateLimits) record(sent time.Time, servers []*backend.Server) {
	if len(l) == 0 {
		return
	}
	for _, server := range servers {
		told, reported := l[server.ID]
		if !reported || told.Started != server.Started || told.AgeMS < 0 || told.AgeMS > maxRateLimitAge.Milliseconds() {
			continue
		}
		report := backend.RateLimitReport{
			Rate: told.Rate, ReceivedAt: sent.Add(-time.Duration(told.AgeMS) * time.Millisecond), Relayed: true,
		}
		// A report that is passed on in a circle seems a little newer each time, so one
		// that tells nothing new is not recorded.
		known, _ := server.LastRateLimit()
		if report.Rate != known.Rate && report.Validate() == nil {
			server.RecordRateLimit(report)
		}
	}
}
