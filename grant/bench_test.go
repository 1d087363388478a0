package grant_test

import (
	"fmt"
	"runtime"
	"testing"

	"lovageshift"
	"lovageshift/grant"
)

// BenchmarkGrant is one ask with its report at a keeper, and one charge at a wallet.
func BenchmarkGrant(b *testing.B) {
	terms := grant.Terms{Rate: 1e9, Burst: 1e12}
	asker := grant.Holder{Entry: "e", Incarnation: 1}
	b.Run("keeper", func(b *testing.B) {
		keeper := grant.NewIssuer(1, lease, transit)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			ask := grant.LeaseRequest{Holder: asker, Lease: grant.LeaseID(i), Account: "a", Tokens: 1000}
			keeper.Grant(60_000, 0, terms, ask)
			keeper.ApplyUsage(60_000, grant.Usage{Holder: asker, IssuerIncarnation: 1, Lease: ask.Lease, Account: "a", Used: 1000})
		}
	})
	b.Run("wallet", func(b *testing.B) {
		wallet := grant.NewLeaseCache(asker)
		ask := wallet.NextRequest("a", 0, 1<<50, 0)
		wallet.Add(0, "k", ask, grant.Grant{Lease: ask.Lease, Tokens: 1 << 50, TTL: 1 << 40})
		b.ReportAllocs()
		for b.Loop() {
			wallet.Settle(1, wallet.Take(1, "a", 1000), 500)
		}
	})
}

// BenchmarkShareMemory reports the heap of a share in use with one lease, and of an idle one.
func BenchmarkShareMemory(b *testing.B) {
	const shares = 10_000
	var held *grant.Issuer
	before := heapBytes()
	for b.Loop() {
		held = grant.NewIssuer(1, lease, transit)
		for i := range shares {
			account := lovageshift.AccountID(fmt.Sprintf("c%05d", i))
			held.Grant(60_000, 0, grant.Terms{Rate: 10, Burst: 10_000}, grant.LeaseRequest{Lease: 1, Account: account, Tokens: 100})
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/shares, "B/share")
	held.Sweep(10_000_000)
	b.ReportMetric(float64(held.Buckets()), "idleShares")
	runtime.KeepAlive(held)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
