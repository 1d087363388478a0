package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"lovageshift/catalog"
	"lovageshift/discovery"
	"lovageshift/platform"
)

// storeTimeout is how long reading all records of the store may take.
const storeTimeout = 5 * time.Second

// checkStore prints the changes that a newly started entry would log when it reads the store's records, including records
// that it skips, and then the catalog, the targets and the availability zones out of service.
func checkStore(ctx context.Context, out io.Writer, address string) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	view, changes, err := discovery.ReadView(timeoutCtx, platform.NewStore(platform.NewStoreTransport(nil)), address)
	if err != nil {
		return trace.Wrap(err, "read the store at %s", address)
	}
	for _, change := range changes {
		fmt.Fprintf(out, "%s %s %s %s\n", change.Kind, change.Target, change.Zone, change.Detail)
	}
	if view.Catalog == nil {
		return trace.NotFound("the store at %s holds no usable configuration", address)
	}
	printCatalog(out, view.Catalog)
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		target := view.Targets[id]
		fmt.Fprintf(out, "target %s: %s at %s in %s, %d slots, leaving %t, cold for %d ms\n",
			id, target.Service, target.Address, target.Zone, target.Slots, target.Draining, target.ColdRemaining)
	}
	for _, zone := range slices.Sorted(maps.Keys(view.ZonesOut)) {
		fmt.Fprintf(out, "zone out of service: %s\n", zone)
	}
	return nil
}

// checkFile prints the published configuration that a file holds, as an entry decodes it.
func checkFile(out io.Writer, path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(err)
	}
	decoded, err := platform.DecodeCatalog(content)
	if err != nil {
		return trace.Wrap(err, "%s", path)
	}
	printCatalog(out, decoded)
	return nil
}

// printCatalog prints the catalog without the keys of client accounts, which are secret.
func printCatalog(out io.Writer, c *catalog.Catalog) {
	fmt.Fprintf(out, "version %d, headers up to %d bytes, bodies up to %d bytes\n", c.Version, c.Limits.HeaderBytes, c.Limits.BodyBytes)
	for _, id := range slices.Sorted(maps.Keys(c.Services())) {
		service := c.Service(id)
		fmt.Fprintf(out, "service %s: engine %t, %d connections a target, %g requests a second while cold\n",
			id, service.Engine, service.ConnectionLimit, service.ColdPerSecond)
	}
	for _, route := range c.Routes() {
		fmt.Fprintf(out, "route %s: %s%s, %s, to %s, rank %d, timeout %d ms, objective %d ms, attempts %d, anonymous %t, resumable %t\n",
			route.ID, route.Host, route.Prefix, route.Kind, formatSplits(route), route.Rank, route.Timeout, route.Objective,
			route.Attempts, route.Anonymous, route.Resumable)
	}
	for _, id := range slices.Sorted(maps.Keys(c.Accounts())) {
		account := c.Accounts()[id]
		fmt.Fprintf(out, "client account %s: %d keys, rate %g, burst %g\n", id, len(account.Keys), account.Rate, account.Burst)
	}
}

// formatSplits lists the services of a route with their weights.
func formatSplits(route *catalog.Route) string {
	text := ""
	for i, split := range route.Splits {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s (%d)", split.Service, split.Weight)
	}
	return text
}
