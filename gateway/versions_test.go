package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/standin"
)

// versionsInstallation returns an installation of three entries and of eight targets, half of which have another version of
// their software than the others.
func versionsInstallation() *installation { return newInstallation(3, 8, versionsOptions()) }

func versionsOptions() targetOptions {
	return targetOptions{
		slots: 40, events: 30,
		version: func(number int) string { return fmt.Sprintf("v%d", 1+number%2) },
	}
}

// resumableStream is a stream that its caller took up again after it had left.
type resumableStream struct {
	first, next standin.CallerRequest
	firstReply  standin.Reply
	nextReply   standin.Reply
}

// goesOn reports whether the events of the two attempts are those of one whole stream.
func (s *resumableStream) goesOn() bool {
	if s.nextReply.Status != 200 || !s.nextReply.Complete {
		return false
	}
	for i, id := range append(s.firstReply.EventIDs, s.nextReply.EventIDs...) {
		if id != i+1 {
			return false
		}
	}
	return true
}

// beginStreams begins streams through all entries and leaves each after two events.
func (i *installation) beginStreams(count int) []*resumableStream {
	return i.beginStreamsAt("/resume/", count, 2)
}

// beginStreamsAt begins streams at paths with the beginning, through all entries, and leaves each after so many events.
func (i *installation) beginStreamsAt(prefix string, count, events int) []*resumableStream {
	streams := make([]*resumableStream, count)
	var group errgroup.Group
	group.SetLimit(20)
	for number := range count {
		s := &resumableStream{first: standin.CallerRequest{
			ID: fmt.Sprintf("first-%d-%d", time.Now().UnixNano(), number), Path: fmt.Sprintf("%s%d", prefix, number), LeaveAfter: events,
		}}
		streams[number] = s
		group.Go(func() error {
			s.firstReply = i.send(number, s.first)
			return nil
		})
	}
	_ = group.Wait()
	return streams
}

// takeUp takes the streams up again, each through another entry than before.
func (i *installation) takeUp(streams []*resumableStream) {
	var group errgroup.Group
	group.SetLimit(20)
	for number, s := range streams {
		s.next = s.first
		s.next.ID, s.next.LeaveAfter = "next-"+s.first.ID, 0
		s.next.Resumes, s.next.LastEventID = s.first.ID, len(s.firstReply.EventIDs)
		group.Go(func() error {
			s.nextReply = i.send(number+1, s.next)
			return nil
		})
	}
	_ = group.Wait()
}

// count returns how many of the streams went on, and how many of them at another version than the one that began them.
func (i *installation) count(streams []*resumableStream) (wentOn, joined int) {
	versions := map[string]string{}
	for _, h := range i.hosts {
		for _, request := range h.replica.Executed() {
			versions[request.ID] = h.replica.Version
		}
	}
	for _, s := range streams {
		if s.goesOn() {
			wentOn++
		}
		if next, ran := versions[s.next.ID]; ran && next != versions[s.first.ID] {
			joined++
		}
	}
	return wentOn, joined
}

// restart ends the entries with the numbers and starts new ones at their addresses, which know nothing of before.
func (i *installation) restart(numbers ...int) {
	for _, number := range numbers {
		i.entries[number].stop()
	}
	for _, number := range numbers {
		i.entries[number] = i.startEntry(number, len(i.entries), targetOptions{})
	}
	for range 1000 {
		if i.ready() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	So("the entries are not ready", ShouldBeEmpty)
}

// What two versions of a target's software write does not fit together. A stream that its caller takes up through another
// entry must go on at the version that began it, and at least half as often as new streams begin.
func TestStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	const count = 60
	for name, killed := range map[string][]int{"no entry": nil, "one of three entries": {1}} {
		Convey("Streams go on at the version that began them, after the end of "+name, t, func() {
			i := versionsInstallation()
			defer i.stop()
			streams := i.beginStreams(count)
			i.restart(killed...)
			i.takeUp(streams)
			wentOn, joined := i.count(streams)
			So(joined, ShouldEqual, 0)
			So(wentOn, ShouldBeGreaterThanOrEqualTo, count/2)
		})
	}
	Convey("No stream goes on at another version after the end of all entries", t, func() {
		i := versionsInstallation()
		defer i.stop()
		streams := i.beginStreams(count)
		i.restart(0, 1, 2)
		i.takeUp(streams)
		_, joined := i.count(streams)
		So(joined, ShouldEqual, 0)
	})
}

// Without processes that outlive a loss of all entries, nobody knows then at which version a stream began, and all are refused.
func TestStreamsGoOnAfterAllEntriesAreLost(t *testing.T) {
	const count = 60
	Convey("Half of the streams go on after the end of all entries", t, func() {
		i := versionsInstallation()
		defer i.stop()
		streams := i.beginStreams(count)
		i.restart(0, 1, 2)
		i.takeUp(streams)
		wentOn, _ := i.count(streams)
		So(wentOn, ShouldBeGreaterThanOrEqualTo, count/2)
	})
}

// Streams that began at a target within 5 s after a connection to it was lost were never recorded, and refused for good.
func TestStreamsGoOnThatBeganAfterConnectionsWereLost(t *testing.T) {
	const count = 60
	play := func(options targetOptions, wait time.Duration) {
		options.engine = true
		i := newInstallation(3, 8, options)
		defer i.stop()
		reset := time.AfterFunc(60*time.Millisecond, func() {
			for _, h := range i.hosts {
				h.resetConns()
			}
		})
		defer reset.Stop()
		i.beginStreamsAt("/resume/", 20, 0) // which are cut off
		time.Sleep(100 * time.Millisecond)
		streams := i.beginStreams(count)
		time.Sleep(wait)
		i.takeUp(streams)
		wentOn, joined := i.count(streams)
		So(joined, ShouldEqual, 0)
		So(wentOn, ShouldBeGreaterThanOrEqualTo, count/2)
	}
	Convey("Streams that began while targets may have restarted go on once it is known that these did not", t, func() {
		options := versionsOptions()
		options.noReport = true
		play(options, 5500*time.Millisecond)
	})
	Convey("Streams go on soon after all connections were reset where targets show that they have not restarted", t, func() {
		play(versionsOptions(), 200*time.Millisecond)
	})
}

// An entry that cannot reach the store took it that a target had not started again, as no record of that arrived.
func TestNoStreamIsBoundToTheVersionOfATargetThatStartedAgainUnseen(t *testing.T) {
	const count = 40
	Convey("A stream of a target whose next record cannot have arrived is bound to no version", t, func() {
		i := newInstallation(2, 2, targetOptions{slots: 40, events: 30, version: func(int) string { return "v1" }})
		defer i.stop()
		config := configuration(4, 1e6, key)
		config["routes"] = append(config["routes"].([]map[string]any), map[string]any{ // which is served with a view of any age
			"name": "free", "host": "h", "prefix": "/free/", "kind": "streaming", "timeout_ms": 2000, "target_latency_ms": 500,
			"service": "pool", "attempts": 2, "resume_streams": true, "allow_anonymous": true,
		})
		i.store.Put(standin.ConfigKey, config)
		time.Sleep(time.Second)
		i.store.SetFailure(503)
		time.Sleep(1500 * time.Millisecond) // in which calls from before are answered
		i.hosts[0].down = 2 * time.Second
		restart := time.AfterFunc(150*time.Millisecond, func() { i.hosts[0].crashed <- struct{}{} })
		defer restart.Stop()
		var callers errgroup.Group
		for number := range count {
			callers.Go(func() error {
				i.send(number, standin.CallerRequest{ID: fmt.Sprintf("cut-%d", number), Path: "/resume/x"})
				return nil
			})
		}
		_ = callers.Wait()
		i.hosts[0].setVersion("v2")
		time.Sleep(8 * time.Second) // longer than after any attempt to reach it while it was down
		streams := i.beginStreamsAt("/free/", count, 2)
		i.store.SetFailure(0)
		time.Sleep(time.Second)
		i.takeUp(streams)
		wentOn, joined := i.count(streams)
		So(joined, ShouldEqual, 0)
		So(wentOn, ShouldBeGreaterThan, 0) // those of the other target
	})
}

// A stream that began at a target which had restarted was bound to the version of before once a record must have arrived, though
// the entry was cut off from the store.
func TestNoStreamIsBoundByARecordThatIsOlderThanItsDoubt(t *testing.T) {
	Convey("A stream that began at a restarted target goes on at no target of the version of before", t, func() {
		options := versionsOptions()
		options.slots, options.events = 8, 300
		options.version = func(int) string { return "v1" }
		i := newInstallation(1, 2, options)
		defer i.stop()
		var before errgroup.Group
		before.Go(func() error { i.beginStreamsAt("/resume/", 12, 100); return nil }) // some of which are cut off
		time.Sleep(500 * time.Millisecond)
		i.store.SetFailure(http.StatusServiceUnavailable)
		i.server.CloseClientConnections()
		restarted := i.hosts[0]
		restarted.replica.SetVersion("v2")
		restarted.crashed <- struct{}{}
		time.Sleep(3800 * time.Millisecond)
		streams := i.beginStreamsAt("/resume/", 16, 165)
		i.store.SetFailure(0)
		_ = before.Wait()
		time.Sleep(3 * time.Second)
		i.takeUp(streams)
		began, joined := 0, 0
		ran := map[string]bool{}
		for _, request := range i.hosts[1].replica.Executed() {
			ran[request.ID] = true
		}
		for _, s := range streams {
			if s.firstReply.Status == http.StatusOK && !ran[s.first.ID] {
				began++
				if ran[s.next.ID] {
					joined++
				}
			}
		}
		So(began, ShouldBeGreaterThan, 0)
		So(joined, ShouldEqual, 0)
	})
}
