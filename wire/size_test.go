package wire_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"lovageshift/wire"
)

// BenchmarkSize measures the encoding of control messages between processes, filled with example values. It reports the
// encoded size of each in bytes, in addition to the time to encode it.
func BenchmarkSize(b *testing.B) {
	stamp := &wire.Stamp{Revision: 1_796_353_658_488, Hash: make([]byte, 32), ConfirmedAgo: 1500, ListAgo: 86_400_000}
	load := &wire.Load{
		Incarnation: 1_796_353_658_488, Running: 12, Limit: 20, Waiting: 3, QueuedPromptTokens: 4000,
		WaitingByRank:          []*wire.RankWaiting{{Rank: 1, Count: 1}, {Rank: 3, Count: 2}},
		PrefillTokensPerSecond: 5000, GapMillis: 21, HoldMillis: 3000, Stamp: stamp, CacheEpoch: 3,
	}
	messages := map[string]proto.Message{
		"load":     &wire.WatchEvent{Load: load},
		"exchange": &wire.ExchangeRequest{Process: "target-123", Incarnation: 1_796_353_658_488, Stamp: stamp},
		"leaseRequest": &wire.LeaseRequest{Entry: "entry-123", Incarnation: 1_796_353_658_488, Stamp: stamp, Asks: []*wire.LeaseAsk{
			{Account: "client-12345", Tokens: 4000, Lease: 100_000},
		}},
		"leaseReport": &wire.LeaseRequest{Entry: "entry-123", Incarnation: 1_796_353_658_488, Stamp: stamp, Uses: []*wire.LeaseUse{
			{Account: "client-12345", Lease: 100_000, Used: 900, Returned: 3000, KeeperIncarnation: 1_796_353_658_488},
		}},
		"startWithoutBody": &wire.Start{
			Entry: "entry-123", Incarnation: 1_796_353_658_488, Sequence: 100_000, SentAt: 10_000_000, Target: "target-123",
			TargetIncarnation: 1_796_353_658_488, Stamp: stamp, Account: "client-12345", Key: "key-12345", Rank: 1,
			Method: "POST", Path: "/v1/chat/completions", PromptTokens: 1000, OutputLimit: 500,
			FirstTokenBudget: 1700, TotalBudget: 120_000, Fingerprint: 1 << 60,
		},
	}
	for name, message := range messages {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _ = proto.Marshal(message)
			}
			b.ReportMetric(float64(proto.Size(message)), "B/message")
		})
	}
}
