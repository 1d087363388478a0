package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// runMixedVersion starts an idle replica again under its id, with another version of its software, while the store is away.
// Streams that begin there and then break must not go on at a replica of the version before.
func runMixedVersion(b *bed) (verdict, error) {
	const entries = 3
	b.operate(configuration(3, newKey))
	var upgraded *replica
	for number, version := range []string{"v1", "v1", "v1", "v2", "v2", "v2"} {
		r, err := b.addReplica(fmt.Sprintf("i-pool%d", number), pool, version)
		if err != nil {
			return verdict{}, err
		}
		if number == 0 {
			upgraded = r
		}
	}
	if err := b.startAll(entries); err != nil {
		return verdict{}, err
	}
	c := newClients(b)
	start := time.Now()
	if b.trouble {
		b.storeAway(false)
	}
	sleep(start, 200*time.Millisecond)
	upgraded.crash()
	b.note("%s is down", upgraded.id)
	sleep(start, 1200*time.Millisecond)
	if err := upgraded.start("v2"); err != nil {
		return verdict{}, err
	}
	sleep(start, 2200*time.Millisecond)
	for number := range 36 {
		c.send(number%entries, http.MethodPost, fmt.Sprintf("%s%d", streamPrefix, number), newKey, 12*time.Second)
	}
	sleep(start, 3400*time.Millisecond)
	upgraded.crash()
	b.note("%s is down", upgraded.id)
	sleep(start, 4400*time.Millisecond)
	if err := upgraded.start("v2"); err != nil {
		return verdict{}, err
	}
	if b.trouble {
		b.storeBack()
	}
	result := verdict{rule: "ORDER", allowed: 2}
	complete := 0
	for _, a := range c.wait() {
		if a.err == nil && a.events == streamEvents {
			complete++
		}
		if versions := slices.Compact(slices.Sorted(slices.Values(a.versions))); len(versions) > 1 {
			result.breaks = append(result.breaks, fmt.Sprintf("stream %s via %s holds events of %v, versions %v", a.id, a.entry, a.replicas, a.versions))
		}
	}
	b.note("%d streams were complete", complete)
	if complete < 6 {
		return verdict{}, fmt.Errorf("%w: only %d streams were complete", errNotRun, complete)
	}
	return result, nil
}
