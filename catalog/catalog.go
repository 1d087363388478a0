package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"

	"lovageshift"
)

// Catalog is one version of the operator's configuration of routes, services and client accounts, which the operator
// publishes in the platform's metadata store. It is immutable once built and safe for concurrent use.
type Catalog struct {
	// Version is the number that the operator gave this configuration. It is not related to the store's own revisions.
	Version       lovageshift.Revision
	Limits        Limits
	services      map[ServiceID]*Service
	accounts      map[lovageshift.AccountID]*Account
	routes        map[string][]*Route  // by host, longest prefix first
	accountsByKey map[keyHash]*Account // by the hash of each of their keys
	meanRates     map[bool]float64     // mean Rate of the accounts that have one, by Account.PerRequest
}

// keyHash is the SHA-256 of one of a client account's keys.
type keyHash [sha256.Size]byte

// Limits holds the largest sizes, in bytes, of the headers and of the body of a caller's request. For a size of 0, the
// entry applies its own default.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// New returns a catalog of the given services, accounts and routes. If two accounts have the same key, AccountFor
// returns the one that is later in the list.
func New(version lovageshift.Revision, limits Limits, services []*Service, accounts []*Account, routes []*Route) *Catalog {
	c := &Catalog{
		Version:       version,
		Limits:        limits,
		services:      map[ServiceID]*Service{},
		accounts:      map[lovageshift.AccountID]*Account{},
		routes:        map[string][]*Route{},
		accountsByKey: map[keyHash]*Account{},
		meanRates:     meanRates(accounts),
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

// RouteFor returns, among the routes of the host whose prefix the path starts with, the one with the longest prefix, or
// nil if there is none. The host is compared without regard to case.
func (c *Catalog) RouteFor(host, path string) *Route {
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// AccountFor returns the client account that has the key, or nil if none has it. It returns nil for an empty key.
func (c *Catalog) AccountFor(key string) *Account {
	if key == "" {
		return nil
	}
	return c.accountsByKey[sha256.Sum256([]byte(key))]
}

func meanRates(accounts []*Account) map[bool]float64 {
	sums, counts := map[bool]float64{}, map[bool]float64{}
	for _, account := range accounts {
		if account.Rate > 0 {
			sums[account.PerRequest] += account.Rate
			counts[account.PerRequest]++
		}
	}
	for perRequest, count := range counts {
		sums[perRequest] /= count
	}
	return sums
}

// WeightOf returns the account's weight in the sharing of targets: its rate divided by the mean rate of the accounts whose
// rates have the same unit, tokens or requests. It is 1 for an account without a rate and for nil.
func (c *Catalog) WeightOf(account *Account) float64 {
	if account == nil || account.Rate <= 0 || c.meanRates[account.PerRequest] == 0 {
		return 1
	}
	return account.Rate / c.meanRates[account.PerRequest]
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

// NeedsKeys reports whether a request needs a key unless its route is anonymous. This is so if the catalog has at least
// one client account.
func (c *Catalog) NeedsKeys() bool { return len(c.accounts) > 0 }
