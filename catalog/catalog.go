package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"

	"lovageshift"
)

// Catalog is one version of the configuration that the operator publishes in the store. It is immutable once built and
// safe for concurrent use.
type Catalog struct {
	// Version is the operator's number of this configuration, not a revision of the store.
	Version       lovageshift.Revision
	Limits        Limits
	services      map[ServiceID]*Service
	accounts      map[lovageshift.AccountID]*Account
	routes        map[string][]*Route // by host, longest prefix first
	accountsByKey map[keyHash]*Account
}

// keyHash is the SHA-256 of one of a client account's keys.
type keyHash [sha256.Size]byte

// Limits holds the largest sizes, in bytes, of the headers and of the body of a request; 0 stands for the default.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// New returns a catalog of the parts. A key that two accounts have belongs to the later account in the list.
func New(version lovageshift.Revision, limits Limits, services []*Service, accounts []*Account, routes []*Route) *Catalog {
	c := &Catalog{
		Version:       version,
		Limits:        limits,
		services:      map[ServiceID]*Service{},
		accounts:      map[lovageshift.AccountID]*Account{},
		routes:        map[string][]*Route{},
		accountsByKey: map[keyHash]*Account{},
	}
	for _, service := range services {
		c.services[service.ID] = service
	}
	for _, account := range accounts {
		c.accounts[account.ID] = account
		for _, key := range account.Keys {
			c.accountsByKey[sha256.Sum256([]byte(key))] = account
		}
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routes[host] = append(c.routes[host], route)
	}
	for _, routesOfHost := range c.routes {
		slices.SortStableFunc(routesOfHost, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// RouteFor returns the route of the host whose prefix is the longest that the path starts with, or nil. The host is
// compared without regard to case.
func (c *Catalog) RouteFor(host, path string) *Route {
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// AccountFor returns the client account that has the key, or nil; an empty key belongs to none.
func (c *Catalog) AccountFor(key string) *Account {
	if key == "" {
		return nil
	}
	return c.accountsByKey[sha256.Sum256([]byte(key))]
}

// Routes returns a new slice of all routes, sorted by host and prefix.
func (c *Catalog) Routes() []*Route {
	var all []*Route
	for _, list := range c.routes {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	return all
}

// Service returns the service with the id, or nil.
func (c *Catalog) Service(id ServiceID) *Service { return c.services[id] }

// Services returns the services by id; the map must not be changed.
func (c *Catalog) Services() map[ServiceID]*Service { return c.services }

// Accounts returns the client accounts by id; the map must not be changed.
func (c *Catalog) Accounts() map[lovageshift.AccountID]*Account { return c.accounts }

// NeedsKeys reports whether requests on routes that aren't anonymous need a key: there is at least one client account.
func (c *Catalog) NeedsKeys() bool { return len(c.accounts) > 0 }
