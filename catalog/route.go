package catalog

import (
	"slices"
	"strings"
	"time"
)

// Route assigns the requests below a path prefix of a host to one or more
// services.
type Route struct {
	Name    string
	Host    string
	Prefix  string // path prefix; begins and ends with a slash
	Timeout time.Duration
	Targets []RouteTarget // never empty
	Public  bool          // needs no API key
}

// RouteTarget is one service of a route. Requests are distributed over the
// targets of a route in proportion to their weights.
type RouteTarget struct {
	Service string
	Weight  float64
}

// RequestLimits bound the size of a request and the time to send it. Zero means
// unlimited.
type RequestLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration // time to send the header
	IdleTimeout   time.Duration // time that a connection may stay open without a request
}

// Routes holds the routes by host, in lower case.
type Routes map[string][]*Route

// NewRoutes indexes routes by host. A port in a host is ignored. The routes of a
// host are sorted by the length of their prefix, longest first.
func NewRoutes(routes []*Route) Routes {
	index := make(Routes)
	for _, r := range routes {
		host := normalizeHost(r.Host)
		index[host] = append(index[host], r)
	}
	for _, list := range index {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return index
}

// Find returns the route with the longest prefix of path, or nil if no route
// matches. A port in host is ignored.
func (r Routes) Find(host, path string) *Route {
	for _, route := range r.ForHost(host) {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// ForHost returns the routes of a host. A port in host is ignored.
func (r Routes) ForHost(host string) []*Route { return r[normalizeHost(host)] }

// normalizeHost returns host in lower case without its port. An IPv6 address keeps
// its brackets.
func normalizeHost(host string) string {
	if end := strings.LastIndexByte(host, ':'); end > strings.LastIndexByte(host, ']') {
		host = host[:end]
	}
	return strings.ToLower(host)
}

// SelectService returns the service at position, from 0 to 1, in the cumulative
// weights of the targets.
func (r *Route) SelectService(position float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := position * total
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
