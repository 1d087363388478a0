package grant_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/grant"
)

const (
	leaseTTL   lovageshift.Millis = 3_000
	maxTransit lovageshift.Millis = 2_000
)

// arrival is when a request reached its target, and the tokens that it used.
type arrival struct {
	at     lovageshift.Millis
	tokens lovageshift.Tokens
}

// runningRequest is a dispatched request that has not ended.
type runningRequest struct {
	cache  *grant.LeaseCache
	charge *grant.Charge
	used   lovageshift.Tokens
	endsAt lovageshift.Millis
}

// model is one share with its issuer and the lease caches of 3 entries. Messages between them get lost, delayed or duplicated.
type model struct {
	random          *rand.Rand
	now             lovageshift.Millis
	terms           grant.Terms
	issuer          *grant.Issuer
	ownedSince      lovageshift.Millis
	caches          []*grant.LeaseCache
	lastIncarnation lovageshift.Incarnation
	running         []runningRequest
	arrivals        []arrival
	delayed         []func() // each delivers one delayed message
}

func newModel(t *rapid.T) *model {
	m := &model{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now:    1_000_000, issuer: grant.NewIssuer(1, leaseTTL, maxTransit), ownedSince: 1,
	}
	m.terms = grant.Terms{Rate: float64(m.between(1, 400)), Burst: float64(m.between(500, 2000))}
	for range 3 {
		m.caches = append(m.caches, m.newCache())
	}
	return m
}

// between returns a random number from least to most, each equally likely. It is used because the numbers that rapid draws are
// mostly small.
func (m *model) between(least, most int) int { return least + m.random.IntN(most-least+1) }

func (m *model) newCache() *grant.LeaseCache {
	m.lastIncarnation++
	return grant.NewLeaseCache(grant.Holder{Entry: "e", Incarnation: m.lastIncarnation})
}

// anyCache returns the lease cache of a random entry.
func (m *model) anyCache() *grant.LeaseCache {
	return m.caches[m.between(0, len(m.caches)-1)]
}

func (m *model) requestLease() {
	cache := m.anyCache()
	tokens := lovageshift.Tokens(m.terms.Burst)
	if m.between(0, 2) > 0 {
		tokens = lovageshift.Tokens(m.between(1, int(m.terms.Burst)))
	}
	request := cache.NextRequest("a", 0, tokens, 0)
	sentAt, answered := m.now, false
	m.deliver(func() {
		granted := m.issuer.Grant(m.now, m.ownedSince, m.terms, request)
		if m.between(0, 4) > 0 && !answered {
			answered = true
			cache.Add(sentAt, "k", request, granted)
		}
	})
}

func (m *model) startRequest() {
	cache := m.anyCache()
	shortfall := cache.Shortfall(m.now, "a", 1<<40)
	available := 1<<40 - shortfall
	if available == 0 {
		return
	}
	tokens := available
	if m.between(0, 2) == 0 {
		tokens = lovageshift.Tokens(m.between(1, int(available)))
	}
	if charge := cache.Take(m.now, "a", tokens); charge != nil {
		m.dispatch(cache, charge)
	}
}

// deliver delivers a message now, later, now and later, or never.
func (m *model) deliver(message func()) {
	switch m.between(0, 9) {
	case 0:
	case 1:
		m.delayed = append(m.delayed, message)
	case 2:
		message()
		m.delayed = append(m.delayed, message)
	default:
		message()
	}
}

// dispatch lets a request reach its target up to maxTransit later. If its charge does not allow the dispatch any more, dispatch
// settles the charge with no token used instead.
func (m *model) dispatch(cache *grant.LeaseCache, charge *grant.Charge) {
	if !charge.Dispatchable(m.now) {
		cache.Settle(m.now, charge, 0)
		return
	}
	delay := lovageshift.Millis(m.between(0, int(maxTransit)))
	used := charge.Tokens
	if m.between(0, 1) == 0 {
		used = lovageshift.Tokens(m.between(0, int(charge.Tokens)))
	}
	duration := lovageshift.Millis(m.between(0, 30_000))
	m.running = append(m.running, runningRequest{cache, charge, used, m.now + delay + duration})
	m.arrivals = append(m.arrivals, arrival{m.now + delay, used})
}

func (m *model) advance() {
	m.now += lovageshift.Millis(m.between(1, 1_200))
	var unfinished []runningRequest
	for _, r := range m.running {
		if r.endsAt > m.now {
			unfinished = append(unfinished, r)
			continue
		}
		r.cache.Settle(m.now, r.charge, r.used)
	}
	m.running = unfinished
	for _, cache := range m.caches {
		for _, report := range cache.DueReports(m.now) {
			m.report(cache, report)
		}
	}
}

func (m *model) report(cache *grant.LeaseCache, report grant.Report) {
	sentAt, arrived := m.now, false
	m.deliver(func() {
		arrived = true
		for _, usage := range report.Usages {
			m.issuer.ApplyUsage(m.now, usage)
		}
	})
	if arrived {
		cache.ReportDelivered(sentAt, report)
	} else {
		cache.ReportFailed(m.now, report)
	}
}

func (m *model) deliverDelayed() {
	if len(m.delayed) > 0 {
		message := m.delayed[0]
		m.delayed = m.delayed[1:]
		message()
	}
}

func (m *model) restartIssuer() {
	m.issuer = grant.NewIssuer(lovageshift.Incarnation(m.now), leaseTTL, maxTransit)
	m.ownedSince = m.now
}

func (m *model) restartEntry() {
	m.caches[m.between(0, len(m.caches)-1)] = m.newCache()
}

// maxExcess returns the most tokens by which the requests that reached their targets in one window of time exceed the burst
// plus the rate times the window's length, or 0 if there is no such window.
func (m *model) maxExcess() float64 {
	worst := 0.0
	for _, first := range m.arrivals {
		for _, last := range m.arrivals {
			if last.at < first.at {
				continue
			}
			sum := 0.0
			for _, between := range m.arrivals {
				if between.at >= first.at && between.at <= last.at {
					sum += float64(between.tokens)
				}
			}
			allowed := m.terms.Burst + m.terms.Rate*(last.at-first.at).Seconds()
			worst = max(worst, sum-allowed)
		}
	}
	return worst
}

// TestNoWindowExceedsRateAndBurst lets entries lease and use tokens while messages get lost, delayed or duplicated and the
// issuer and entries restart. If tokens were leased or credited twice, more would be used in some window of time than the
// rate and burst allow.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range 400 {
			switch m.between(0, 24) {
			case 0:
				if m.between(0, 3) == 0 {
					m.restartIssuer()
				}
			case 1:
				if m.between(0, 3) == 0 {
					m.restartEntry()
				}
			case 2, 3:
				m.deliverDelayed()
			case 4:
				m.issuer.Sweep(m.now)
			case 5, 6, 7, 8:
				m.advance()
			case 9, 10, 11, 12, 13:
				m.requestLease()
			default:
				m.startRequest()
			}
		}
		if over := m.maxExcess(); over > 1 {
			t.Fatalf("the tokens used in a window of time exceed the rate and burst by %.0f", over)
		}
	})
}

func TestIssuer(t *testing.T) {
	terms := grant.Terms{Rate: 100, Burst: 1000}
	request := func(id grant.LeaseID, tokens lovageshift.Tokens) grant.LeaseRequest {
		return grant.LeaseRequest{Holder: grant.Holder{Entry: "e", Incarnation: 1}, Lease: id, Account: "a", Tokens: tokens}
	}
	Convey("An issuer", t, func() {
		issuer := grant.NewIssuer(1, leaseTTL, maxTransit)
		Convey("grants nothing until the leases of an earlier issuer have ended, and then starts with an empty bucket", func() {
			So(issuer.Grant(4_999, 0, terms, request(1, 10)).Tokens, ShouldEqual, 0)
			So(issuer.Grant(5_000, 0, terms, request(2, 10)).Tokens, ShouldEqual, 0)
			So(issuer.Grant(6_000, 0, terms, request(3, 1000)).Tokens, ShouldEqual, 100)
		})
		Convey("answers in how many milliseconds the rest of the requested tokens will be available", func() {
			wait := issuer.Grant(6_000, 0, terms, request(1, 600)).RetryAfter
			So(wait, ShouldBeBetween, 4_900, 5_100)
		})
		Convey("grants the tokens of a duplicate request only once", func() {
			first := issuer.Grant(60_000, 0, terms, request(1, 600))
			again := issuer.Grant(60_000, 0, terms, request(1, 600))
			So(again.Tokens, ShouldEqual, first.Tokens)
			So(issuer.Grant(60_000, 0, terms, request(2, 1000)).Tokens, ShouldEqual, 400)
		})
		Convey("credits returned tokens once", func() {
			issuer.Grant(60_000, 0, terms, request(1, 1000))
			usage := grant.Usage{Holder: grant.Holder{Entry: "e", Incarnation: 1}, IssuerIncarnation: 1, Lease: 1, Account: "a", Used: 100, Returned: 900}
			issuer.ApplyUsage(60_000, usage)
			issuer.ApplyUsage(60_000, usage)
			So(issuer.Grant(60_000, 0, terms, request(2, 1000)).Tokens, ShouldEqual, 900)
		})
		Convey("drops the bucket of a share once its leases were dropped and it is full", func() {
			issuer.Grant(60_000, 0, terms, request(1, 10))
			issuer.Sweep(120_000)
			So(issuer.Buckets(), ShouldEqual, 0)
		})
	})
}

func TestLease(t *testing.T) {
	holder := grant.Holder{Entry: "e", Incarnation: 1}
	Convey("A lease", t, func() {
		cache := grant.NewLeaseCache(holder)
		request := cache.NextRequest("a", 0, 1000, 0)
		Convey("is charged only until its TTL, counted from when the request was sent, has passed", func() {
			cache.Add(10_000, "k", request, grant.LeaseGrant{Lease: request.Lease, Tokens: 1000, TTL: leaseTTL})
			So(cache.Take(12_900, "a", 10), ShouldNotBeNil)
			So(cache.Take(13_000, "a", 10), ShouldBeNil)
		})
		Convey("lets unused tokens be charged again until it ends, after which they are returned to the issuer", func() {
			cache.Add(10_000, "k", request, grant.LeaseGrant{Lease: request.Lease, Tokens: 1000, TTL: leaseTTL})
			charge := cache.Take(10_100, "a", 1000)
			cache.Settle(10_200, charge, 100)
			So(cache.Shortfall(10_300, "a", 900), ShouldEqual, 0)
			charge = cache.Take(10_400, "a", 900)
			cache.Settle(20_000, charge, 100)
			So(cache.Shortfall(20_000, "a", 1), ShouldEqual, 1)
			So(cache.DueReports(20_200)[0].Usages[0].Returned, ShouldEqual, 800)
		})
		Convey("has no returned tokens credited that the issuer has already released", func() {
			issuer := grant.NewIssuer(1, leaseTTL, maxTransit)
			terms := grant.Terms{Rate: 100, Burst: 1000}
			issuer.Grant(60_000, 0, terms, grant.LeaseRequest{Holder: holder, Lease: 1, Account: "a", Tokens: 1000})
			usage := grant.Usage{Holder: holder, IssuerIncarnation: 1, Lease: 1, Account: "a", InFlight: 400}
			issuer.ApplyUsage(61_000, usage)
			// At 65 s the issuer releases the 600 tokens that are not in flight; 3 s later the bucket has been refilled by 300.
			So(issuer.Grant(68_000, 0, terms, grant.LeaseRequest{Holder: holder, Lease: 2, Account: "a", Tokens: 1000}).Tokens, ShouldEqual, 300)
			usage.InFlight, usage.Used, usage.Returned = 0, 400, 600
			issuer.ApplyUsage(68_000, usage)
			So(issuer.Grant(68_000, 0, terms, grant.LeaseRequest{Holder: holder, Lease: 3, Account: "a", Tokens: 1000}).Tokens, ShouldEqual, 0)
		})
	})
}
