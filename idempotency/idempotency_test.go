package idempotency_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/idempotency"
)

const skew = 5_000 // milliseconds

var limits = idempotency.Limits{MaxRecords: 100, MaxAnswerBytes: 1000, KeyTTL: 900_000, ClockSkew: skew}

// uuidAt returns a UUIDv7 that contains the wall time, and the number, which makes it unique.
func uuidAt(wall lovageshift.Millis, number int) string {
	return fmt.Sprintf("%08x-%04x-7%03x-8000-%012x", wall>>16, wall&0xffff, number&0xfff, number)
}

// TestNoKeyRunsTwice checks that no call with the same key runs twice while, at random, the agent restarts, the keys'
// home moves to another agent, and callers' clocks differ from the agent's by up to 60 s. A call that has begun counts
// as run even if Finish is not called for it.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := lovageshift.Millis(1_700_000_000_000)
		ledger := idempotency.NewLedger(now, limits)
		homeSince := now
		var keys []string
		runs := map[string]int{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += lovageshift.Millis(rapid.IntRange(0, 40_000).Draw(t, "tick"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				ledger = idempotency.NewLedger(now, limits)
			case 1:
				// Another agent becomes the home now. It has been running for the keys' time to live (900 s).
				homeSince = now
				ledger = idempotency.NewLedger(now-900_000, limits)
			case 2, 3, 4:
				offset := lovageshift.Millis(rapid.IntRange(-60_000, 60_000).Draw(t, "callersClock"))
				key := uuidAt(now+offset, len(keys))
				if rapid.IntRange(0, 3).Draw(t, "plain") == 0 {
					key = fmt.Sprintf("plain-%d", len(keys))
				}
				keys = append(keys, key)
			}
			if len(keys) == 0 {
				continue
			}
			newest := max(0, len(keys)-5)
			text := keys[rapid.IntRange(newest, len(keys)-1).Draw(t, "key")]
			key := idempotency.Key{Account: "a", Text: text}
			answer, refusal := ledger.Begin(now, homeSince, idempotency.Call{Key: key, Fingerprint: 1})
			if answer != nil || refusal != nil {
				continue
			}
			if runs[text]++; runs[text] > 1 {
				t.Fatalf("%s ran twice", text)
			}
			if rapid.Bool().Draw(t, "finishes") {
				ledger.Finish(key, &idempotency.Answer{Status: 200})
			}
		}
	})
}

func TestLedger(t *testing.T) {
	Convey("A ledger", t, func() {
		started := lovageshift.Millis(1_700_000_000_000)
		ledger := idempotency.NewLedger(started, limits)
		call := func(text string) idempotency.Call {
			return idempotency.Call{Key: idempotency.Key{Account: "a", Text: text}, Fingerprint: 1}
		}
		now := started + 2*skew
		Convey("runs a call with a key created after the agent's start and gives a resend the same answer", func() {
			fresh := call(uuidAt(now, 1))
			_, refusal := ledger.Begin(now, started, fresh)
			So(refusal, ShouldBeNil)
			_, refusal = ledger.Begin(now, started, fresh)
			So(refusal.Reason, ShouldEqual, lovageshift.ReasonIdempotencyInProgress)
			ledger.Finish(fresh.Key, &idempotency.Answer{Status: 201})
			answer, _ := ledger.Begin(now, started, fresh)
			So(answer.Status, ShouldEqual, 201)
		})
		Convey("refuses a call with the same key and another fingerprint", func() {
			fresh := call(uuidAt(now, 1))
			_, _ = ledger.Begin(now, started, fresh)
			fresh.Fingerprint = 2
			_, refusal := ledger.Begin(now, started, fresh)
			So(refusal.Reason, ShouldEqual, lovageshift.ReasonIdempotencyMismatch)
		})
		Convey("refuses a key as unproven if its creation time is at the agent's start or in the future", func() {
			_, refusal := ledger.Begin(now, started, call(uuidAt(started, 1)))
			So(refusal.Outcome, ShouldEqual, lovageshift.OutcomeUnknown)
			_, refusal = ledger.Begin(now, started, call(uuidAt(now+skew+1, 1)))
			So(refusal.Reason, ShouldEqual, lovageshift.ReasonIdempotencyUnproven)
		})
		Convey("runs a call with a key without a creation time only once the agent has been up for the keys' time to live", func() {
			_, refusal := ledger.Begin(now, started, call("plain"))
			So(refusal.Reason, ShouldEqual, lovageshift.ReasonIdempotencyUnproven)
			_, refusal = ledger.Begin(started+limits.KeyTTL, started, call("plain"))
			So(refusal, ShouldBeNil)
		})
		Convey("refuses new calls when it is full of running calls", func() {
			for number := range limits.MaxRecords {
				_, refusal := ledger.Begin(now, started, call(uuidAt(now, number)))
				So(refusal, ShouldBeNil)
			}
			_, refusal := ledger.Begin(now, started, call(uuidAt(now, limits.MaxRecords)))
			So(refusal.Reason, ShouldEqual, lovageshift.ReasonIdempotencyFull)
		})
		Convey("reads the time of a ULID", func() {
			created, hasTime := idempotency.Key{Text: "01ARZ3NDEKTSV4RRFFQ69G5FAV"}.CreatedAt()
			So(hasTime, ShouldBeTrue)
			So(created, ShouldEqual, 1469922850259)
		})
	})
}
