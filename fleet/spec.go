package fleet

import (
	"cmp"
	"fmt"
	"strings"

	"lovageshift"
	"lovageshift/folder"
	"lovageshift/routing"
	"lovageshift/standin"
)

// Engine is a model target of a fleet; Profile sets the behaviour of its stand-in engine.
type Engine struct {
	ID      lovageshift.TargetID
	Zone    lovageshift.ZoneID
	Profile standin.Profile
	// MaxRunning and MaxWaiting limit the requests that run and that wait at the agent at the same time. MaxRunning is
	// raised to the cold limit, which is Profile.ColdLimit but at least 2.
	MaxRunning, MaxWaiting int
}

// Service is a target of a fleet that runs a plain service; an empty Route means "deposits".
type Service struct {
	ID    lovageshift.TargetID
	Zone  lovageshift.ZoneID
	Route lovageshift.RouteID
}

// Account is one client account of a fleet, with one API key whose secret is KeyOf(ID) and whose key ID is the
// account's ID. Rate is in tokens per second, Burst in tokens.
type Account struct {
	ID    lovageshift.AccountID
	Tier  lovageshift.TierID
	Rate  lovageshift.Tokens
	Burst lovageshift.Tokens
}

// Spec describes a fleet.
type Spec struct {
	Entries     int // number of entries
	Engines     []Engine
	Services    []Service
	Accounts    []Account
	ExtraConfig string                // TOML appended to the generated configuration
	NewPolicy   func() routing.Policy // the policy of each entry; nil is the entry's default
	PassThrough bool                  // agents admit every request at once, as plain load balancers do
	Seed        uint64                // of every process's random generator, together with the process's name
}

// KeyOf returns the secret of an account's API key, derived from the account's ID.
func KeyOf(account lovageshift.AccountID) string {
	const digits = "0123456789abcdef"
	var text strings.Builder
	for i := range 64 {
		text.WriteByte(digits[(int(account[i%len(account)])+i)%len(digits)])
	}
	return "ls_" + text.String()
}

// address returns the IP:port address of a process by its kind ("engine", "agent" or "entry") and its number, from 0.
// Services count as engines. Engines and agents are numbered in the order of Fleet.Targets.
func (s *Spec) address(kind string, number int) string {
	ports := map[string]int{"engine": 1000, "agent": 2000, "entry": 3000}
	return fmt.Sprintf("127.0.0.1:%d", ports[kind]+number)
}

// configFile returns the fleet's generated configuration file. Tiers "urgent" and "normal" keep the default latency
// limits; "patient" has its own.
func (s *Spec) configFile() folder.File {
	var text strings.Builder
	text.WriteString(`
[tiers.urgent]
rank = 1
[tiers.normal]
rank = 2
[tiers.patient]
rank = 3
firstTokenMillis = 10000
betweenTokensMillis = 60
[models.drafts]
contextTokens = 40000
minBytesPerToken = 4.0
[routes.deposits]
prefix = "/deposits/"
methods = ["POST"]
[routes.lookups]
prefix = "/lookups/"
repeatable = true
[routes.public]
prefix = "/public/"
repeatable = true
open = true
`)
	s.writeZones(&text)
	s.writeTargets(&text)
	s.writeAccounts(&text)
	text.WriteString(s.ExtraConfig)
	return folder.NewFile("10-fleet.toml", []byte(text.String()))
}

// writeZones writes every availability zone that an engine or a service is in.
func (s *Spec) writeZones(text *strings.Builder) {
	seen := map[lovageshift.ZoneID]bool{}
	add := func(zone lovageshift.ZoneID) {
		if !seen[zone] {
			seen[zone] = true
			fmt.Fprintf(text, "[zones.%s]\n", zone)
		}
	}
	for _, engine := range s.Engines {
		add(engine.Zone)
	}
	for _, service := range s.Services {
		add(service.Zone)
	}
}

// writeTargets writes the targets; a service's number follows those of the engines.
func (s *Spec) writeTargets(text *strings.Builder) {
	for i, e := range s.Engines {
		cold := max(e.Profile.ColdLimit, 2)
		fmt.Fprintf(text, "[targets.%s]\nzone=%q\nmodel=\"drafts\"\naddress=%q\nagent=%q\ncoldLimit=%d\nmaxRunning=%d\nmaxWaiting=%d\n",
			e.ID, e.Zone, s.address("engine", i), s.address("agent", i), cold, max(e.MaxRunning, cold), e.MaxWaiting)
	}
	for i, service := range s.Services {
		number := len(s.Engines) + i
		fmt.Fprintf(text, "[targets.%s]\nkind=\"service\"\nroute=%q\nzone=%q\naddress=%q\nagent=%q\ncoldLimit=8\nmaxRunning=32\nmaxWaiting=32\n",
			service.ID, cmp.Or(service.Route, "deposits"), service.Zone, s.address("engine", number), s.address("agent", number))
	}
}

// writeAccounts writes the accounts and the key of each.
func (s *Spec) writeAccounts(text *strings.Builder) {
	for _, account := range s.Accounts {
		hash, err := lovageshift.HashSecret(KeyOf(account.ID))
		if err != nil {
			panic(err)
		}
		fmt.Fprintf(text, "[accounts.%s]\ntier=%q\nrate=%d\nburst=%d\n", account.ID, account.Tier, account.Rate, account.Burst)
		fmt.Fprintf(text, "[keys.%s]\naccount=%q\nhash=%q\n", account.ID, account.ID, hash.String())
	}
}
