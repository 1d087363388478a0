package main

import (
	"fmt"
	"net/http"
	"time"
)

// One stream in so many has neither a length nor chunks.
const unframedEvery = 20

// runKilledEntry kills the entries one after the other while streams are under way. A stream that an entry has not forwarded to
// its end must not look complete to its caller.
func runKilledEntry(b *bed) (verdict, error) {
	const (
		entries   = 3
		replicas  = 12
		perSecond = 45
		seconds   = 15
	)
	b.operate(configuration(3, newKey))
	for number := range replicas {
		r, err := b.addReplica(fmt.Sprintf("i-pool%d", number), pool, "v1")
		if err != nil {
			return verdict{}, err
		}
		r.unframedEvery = unframedEvery
	}
	if err := b.startAll(entries); err != nil {
		return verdict{}, err
	}
	c := newClients(b)
	start := time.Now()
	b.tasks.Go(func() error {
		for number := range perSecond * seconds {
			sleep(start, time.Duration(number)*time.Second/perSecond)
			c.send(number%entries, http.MethodPost, fmt.Sprintf("%s%d", draftPrefix, number), newKey, 15*time.Second)
		}
		return nil
	})
	for number := range entries {
		sleep(start, time.Duration(4+4*number)*time.Second)
		if !b.trouble {
			continue
		}
		if err := b.killEntry(number); err != nil {
			return verdict{}, err
		}
		sleep(start, time.Duration(4+4*number)*time.Second+500*time.Millisecond)
		if err := b.startEntry(number, entries, false); err != nil {
			return verdict{}, err
		}
	}
	sleep(start, (seconds+1)*time.Second)
	result := verdict{rule: "ORDER"}
	whole := 0
	for _, a := range c.wait() {
		if a.err != nil || a.status != http.StatusOK || !a.ended {
			continue
		}
		if a.events == streamEvents {
			whole++
			continue
		}
		result.breaks = append(result.breaks, fmt.Sprintf("stream %s via %s ended as complete after %d of %d events, without an error of the channel",
			a.id, a.entry, a.events, streamEvents))
	}
	b.note("%d streams were whole", whole)
	if whole < 100 {
		return verdict{}, fmt.Errorf("%w: only %d streams were whole", errNotRun, whole)
	}
	return result, nil
}
