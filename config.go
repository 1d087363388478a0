package lovageshift

import (
	"fmt"
	"maps"
	"sort"
	"strings"
)

// Config is one revision of the configuration. It must not be changed after a call of Validate.
type Config struct {
	Revision Revision
	Hash     string // SHA-256 digest of the configuration files, in hex
	Accounts map[AccountID]*Account
	Keys     map[KeyID]*Key
	Tiers    map[TierID]*Tier
	Models   map[ModelID]*Model
	Zones    map[ZoneID]*Zone
	Targets  map[TargetID]*Target
	Routes   map[RouteID]*Route
	Limits   Limits

	// Indexes, built by Validate.
	keysByHash   map[KeyHash]*Key
	targetsByID  []*Target // sorted by ID
	routesByPath []*Route  // sorted by the length of the prefix, the longest first
}

// Problem is one error in a configuration. Path is the dotted path of the field, such as accounts.a.rate.
type Problem struct {
	Path    string
	Message string
}

func problem(path, format string, args ...any) Problem {
	return Problem{Path: path, Message: fmt.Sprintf(format, args...)}
}

// NewConfig returns an empty configuration with the default limits.
func NewConfig() *Config {
	return &Config{
		Accounts: map[AccountID]*Account{},
		Keys:     map[KeyID]*Key{},
		Tiers:    map[TierID]*Tier{},
		Models:   map[ModelID]*Model{},
		Zones:    map[ZoneID]*Zone{},
		Targets:  map[TargetID]*Target{},
		Routes:   map[RouteID]*Route{},
		Limits:   DefaultLimits(),
	}
}

// Entity returns a pointer to the named entity of a section, such as an *Account of the section accounts. It creates
// the entity with its defaults if there is none of the name. It returns nil for an unknown section.
func (c *Config) Entity(section, name string) any {
	switch section {
	case "accounts":
		return getOrCreate(c.Accounts, AccountID(name), func(id AccountID) *Account { return &Account{ID: id} })
	case "keys":
		return getOrCreate(c.Keys, KeyID(name), func(id KeyID) *Key { return &Key{ID: id} })
	case "tiers":
		return getOrCreate(c.Tiers, TierID(name), newTier)
	case "models":
		return getOrCreate(c.Models, ModelID(name), newModel)
	case "zones":
		return getOrCreate(c.Zones, ZoneID(name), newZone)
	case "targets":
		return getOrCreate(c.Targets, TargetID(name), newTarget)
	case "routes":
		return getOrCreate(c.Routes, RouteID(name), newRoute)
	default:
		return nil
	}
}

func getOrCreate[K comparable, V any](entities map[K]*V, id K, create func(K) *V) any {
	if entities[id] == nil {
		entities[id] = create(id)
	}
	return entities[id]
}

// Clone returns a configuration with the same entities and limits, to be changed and validated. It has no revision, no
// hash and, until it is validated, no indexes. Both configurations share the entities: an entity that is to change must
// first be removed from the clone, so that Entity creates a new one.
func (c *Config) Clone() *Config {
	return &Config{
		Accounts: maps.Clone(c.Accounts),
		Keys:     maps.Clone(c.Keys),
		Tiers:    maps.Clone(c.Tiers),
		Models:   maps.Clone(c.Models),
		Zones:    maps.Clone(c.Zones),
		Targets:  maps.Clone(c.Targets),
		Routes:   maps.Clone(c.Routes),
		Limits:   c.Limits,
	}
}

// Remove deletes an entity from a section. The next call of Entity with its name then creates a new one.
func (c *Config) Remove(section, name string) {
	switch section {
	case "accounts":
		delete(c.Accounts, AccountID(name))
	case "keys":
		delete(c.Keys, KeyID(name))
	case "tiers":
		delete(c.Tiers, TierID(name))
	case "models":
		delete(c.Models, ModelID(name))
	case "zones":
		delete(c.Zones, ZoneID(name))
	case "targets":
		delete(c.Targets, TargetID(name))
	case "routes":
		delete(c.Routes, RouteID(name))
	}
}

type validator interface {
	validate(*Config) []Problem
}

// Validate checks all fields and references and builds the indexes. It returns all problems, sorted by path.
func (c *Config) Validate() []Problem {
	problems := c.Limits.validate()
	problems = append(problems, validateAll(c, c.Accounts)...)
	problems = append(problems, validateAll(c, c.Keys)...)
	problems = append(problems, validateAll(c, c.Tiers)...)
	problems = append(problems, validateAll(c, c.Models)...)
	problems = append(problems, validateAll(c, c.Zones)...)
	problems = append(problems, validateAll(c, c.Targets)...)
	problems = append(problems, validateAll(c, c.Routes)...)
	problems = append(problems, c.index()...)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return problems
}

func validateAll[K comparable, V validator](config *Config, entities map[K]V) []Problem {
	var problems []Problem
	for _, member := range entities {
		problems = append(problems, member.validate(config)...)
	}
	return problems
}

// index builds the indexes and returns a problem for each key found to have the same hash as another.
func (c *Config) index() []Problem {
	problems := c.indexKeys()
	c.targetsByID = c.targetsByID[:0]
	for _, target := range c.Targets {
		c.targetsByID = append(c.targetsByID, target)
	}
	sort.Slice(c.targetsByID, func(i, j int) bool { return c.targetsByID[i].ID < c.targetsByID[j].ID })
	c.routesByPath = c.routesByPath[:0]
	for _, route := range c.Routes {
		c.routesByPath = append(c.routesByPath, route)
	}
	// RouteFor returns the first route whose prefix matches, which must be the one with the longest prefix.
	sort.Slice(c.routesByPath, func(i, j int) bool {
		return len(c.routesByPath[i].Prefix) > len(c.routesByPath[j].Prefix)
	})
	return problems
}

func (c *Config) indexKeys() []Problem {
	var problems []Problem
	c.keysByHash = make(map[KeyHash]*Key, len(c.Keys))
	for _, key := range c.Keys {
		hash, err := ParseKeyHash(key.Hash)
		if err != nil {
			continue
		}
		if duplicate := c.keysByHash[hash]; duplicate != nil {
			reported := max(string(duplicate.ID), string(key.ID))
			problems = append(problems, problem("keys."+reported+".hash", "another key has the same hash"))
		}
		c.keysByHash[hash] = key
	}
	return problems
}

// KeyFor returns the key whose secret has the hash, or nil. After the look-up in the index, it compares the hashes once
// more in constant time.
func (c *Config) KeyFor(hash KeyHash) *Key {
	key := c.keysByHash[hash]
	if key == nil {
		return nil
	}
	keyHash, err := ParseKeyHash(key.Hash)
	if err != nil || !keyHash.Equal(hash) {
		return nil
	}
	return key
}

// KeyInForce reports whether the key exists, is not withdrawn and belongs to the account.
func (c *Config) KeyInForce(id KeyID, account AccountID) bool {
	key := c.Keys[id]
	return key != nil && !key.Withdrawn && key.Account == account
}

// RouteFor returns the route whose prefix is the longest one that the path begins with, or nil.
func (c *Config) RouteFor(path string) *Route {
	for _, route := range c.routesByPath {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// TargetsByID returns all targets, sorted by ID. The slice must not be changed.
func (c *Config) TargetsByID() []*Target { return c.targetsByID }

// TargetInService reports whether both the target and its availability zone are in service.
func (c *Config) TargetInService(id TargetID) bool {
	target := c.Targets[id]
	if target == nil || !target.InService {
		return false
	}
	zone := c.Zones[target.Zone]
	return zone != nil && zone.InService
}

// RankOf returns the rank of a client account's tier, or LastRank if the account or its tier is unknown.
func (c *Config) RankOf(id AccountID) Rank {
	account := c.Accounts[id]
	if account == nil || c.Tiers[account.Tier] == nil {
		return LastRank
	}
	return c.Tiers[account.Tier].Rank
}

// LastRank is the highest rank number that a tier may have, which is served last. Requests without a tier,
// such as calls on open routes, have this rank too.
const LastRank Rank = 32
