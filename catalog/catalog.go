package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"

	"lovageshift"
)

// Catalog is one configuration as the operator published it. It is immutable once built and safe for concurrent use.
type Catalog struct {
	Version       lovageshift.Revision
	Limits        Limits
	services      map[ServiceID]*Service
	accounts      map[lovageshift.AccountID]*Account
	routes        map[string][]*Route // by host, longest prefix first
	accountsByKey map[keyHash]*Account
}

// keyHash is the SHA-256 of a client account's key.
type keyHash [sha256.Size]byte

// Limits holds the largest request that a client may send, in bytes; 0 leaves the default in force.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// New builds a catalog from its parts. A key that two accounts hold belongs to the later account in the list.
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

// RouteFor returns the route of the host with the longest prefix of the path, or nil. Host names match in any case.
func (c *Catalog) RouteFor(host, path string) *Route {
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// AccountFor returns the client account that holds the key, or nil; an empty key belongs to none.
func (c *Catalog) AccountFor(key string) *Account {
	if key == "" {
		return nil
	}
	return c.accountsByKey[sha256.Sum256([]byte(key))]
}

// Routes returns all routes, sorted by host and prefix.
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
