package grant_test

import (
	"fmt"
	"runtime"
	"testing"

	"lovageshift"
	"lovageshift/grant"
)

// BenchmarkGrant measures an issuer with one lease request and one usage report of that lease, and a lease cache with one
// charge and its settlement.
func BenchmarkGrant(b *testing.B) {
	terms := grant.Terms{Rate: 1e9, Burst: 1e12}
	holder := grant.Holder{Entry: "e", Incarnation: 1}
	b.Run("issuer", func(b *testing.B) {
		issuer := grant.NewIssuer(1, leaseTTL, maxTransit)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			request := grant.LeaseRequest{Holder: holder, Lease: grant.LeaseID(i), Account: "a", Tokens: 1000}
			issuer.Grant(60_000, 0, terms, request)
			issuer.ApplyUsage(60_000, grant.Usage{Holder: holder, IssuerIncarnation: 1, Lease: request.Lease, Account: "a", Used: 1000})
		}
	})
	b.Run("leaseCache", func(b *testing.B) {
		cache := grant.NewLeaseCache(holder)
		request := cache.NextRequest("a", 0, 1<<50, 0)
		cache.Add(0, "k", request, grant.LeaseGrant{Lease: request.Lease, Tokens: 1 << 50, TTL: 1 << 40})
		b.ReportAllocs()
		for b.Loop() {
			cache.Settle(1, cache.Take(1, "a", 1000), 500)
		}
	})
}

// BenchmarkShareMemory reports the heap bytes per share with one lease, and how many shares still have a bucket after a
// sweep when all of them are idle.
func BenchmarkShareMemory(b *testing.B) {
	const shares = 10_000
	var issuer *grant.Issuer
	before := heapBytes()
	for b.Loop() {
		issuer = grant.NewIssuer(1, leaseTTL, maxTransit)
		for i := range shares {
			account := lovageshift.AccountID(fmt.Sprintf("c%05d", i))
			issuer.Grant(60_000, 0, grant.Terms{Rate: 10, Burst: 10_000}, grant.LeaseRequest{Lease: 1, Account: account, Tokens: 100})
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/shares, "B/share")
	issuer.Sweep(10_000_000)
	b.ReportMetric(float64(issuer.Buckets()), "idleShares")
	runtime.KeepAlive(issuer)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
